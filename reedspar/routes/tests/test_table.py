"""Tests of the search for a request's route and workspace."""

import random
import unittest

from reedspar.routes import (
    RequestKind,
    Route,
    RouteTable,
    WeightedService,
    WorkspaceAccess,
    find_route,
    find_workspace,
    index_routes,
)


def make_route(prefix: str, host: str = "a.example", **changes: object) -> Route:
    values: dict = {
        "name": prefix,
        "host": host,
        "prefix": prefix,
        "kind": RequestKind.IDEMPOTENT,
        "services": (WeightedService("s"),),
        "timeout_s": 1.0,
        "latency_goal_s": 0.1,
        "priority": 1,
        "attempts_max": 2,
    }
    return Route(**{**values, **changes})


class FindRouteTest(unittest.TestCase):
    def setUp(self) -> None:
        routes = [make_route("/a/"), make_route("/a/b/"), make_route("/", "b.example")]
        self.table = RouteTable(1, index_routes(routes))

    def name(self, host: str, path: str) -> str | None:
        route = find_route(self.table, host, path)
        return route.name if route else None

    def test_longest_prefix_of_the_host(self) -> None:
        self.assertEqual(self.name("a.example", "/a/b/c"), "/a/b/")
        self.assertEqual(self.name("a.example", "/a/bc"), "/a/")
        self.assertEqual(self.name("b.example:8080", "/x"), "/")
        self.assertIsNone(self.name("a.example", "/x"))
        self.assertIsNone(self.name("c.example", "/a/"))

    def test_query_is_no_part_of_the_path(self) -> None:
        # A prefix in the query would let a caller choose its service.
        self.assertEqual(self.name("a.example", "/a/?x=/a/b/"), "/a/")
        self.assertIsNone(self.name("a.example", "/?/a/"))


class RouteTest(unittest.TestCase):
    def test_streams_are_idempotent_only_where_they_resume(self) -> None:
        stream = make_route("/", kind=RequestKind.STREAM)
        self.assertFalse(stream.is_idempotent)
        resumable = make_route("/", kind=RequestKind.STREAM, can_resume=True)
        self.assertTrue(resumable.is_idempotent)
        order = make_route("/", kind=RequestKind.NON_IDEMPOTENT, can_resume=True)
        self.assertFalse(order.is_idempotent)

    def test_services_are_chosen_by_weight(self) -> None:
        services = (WeightedService("s", 90), WeightedService("t", 10))
        route = make_route("/", services=services)
        rng = random.Random(1)
        chosen = [route.choose_service(rng) for _ in range(1000)]
        self.assertAlmostEqual(chosen.count("t") / 1000, 0.1, delta=0.03)


class WorkspaceTest(unittest.TestCase):
    def test_key_names_the_workspace(self) -> None:
        shop = WorkspaceAccess("shop")
        self.assertIs(find_workspace({"k": shop}, "Bearer k"), shop)
        for odd in ("", "k", "Basic k", "Bearer", "Bearer x"):
            self.assertIsNone(find_workspace({"k": shop}, odd))


if __name__ == "__main__":
    unittest.main()
