"""Tests of the operators' HTTP endpoints."""

import unittest

import anyio
import httpx

from reedspar.admin import create_admin_app
from reedspar.timeline import EventKind
from reedspar.utils.tests.odd_json import list_odd_documents

from .fakes import FakeDaemon

PATCHES = "/admin/configuration/patches"


class AdminAppTest(unittest.TestCase):
    def setUp(self) -> None:
        self.daemon = FakeDaemon()
        self.app = create_admin_app(self.daemon.create_sources())

    def call(self, method: str, path: str, **arguments) -> httpx.Response:
        async def run() -> httpx.Response:
            transport = httpx.ASGITransport(self.app)
            async with httpx.AsyncClient(
                transport=transport, base_url="http://entry-1"
            ) as client:
                return await client.request(method, path, **arguments)

        return anyio.run(run)

    def patch(self, **fields) -> httpx.Response:
        body = {
            "base_version": 1,
            "patch_id": "patch-0001",
            "patch": {"zones": {"kingston-a": "out"}},
            **fields,
        }
        return self.call("POST", PATCHES, json=body)

    def test_status_members_configuration_and_metrics_are_served(self) -> None:
        self.assertEqual(self.call("GET", "/admin/status").json()["role"], "entry")
        members = self.call("GET", "/admin/members").json()["members"]
        self.assertEqual(members[0]["http_port"], 8001)
        self.assertEqual(self.call("GET", "/admin/configuration").json()["version"], 1)
        metrics = self.call("GET", "/metrics")
        self.assertTrue(metrics.headers["content-type"].startswith("text/plain"))

    def test_repeated_patch_is_applied_once(self) -> None:
        # The response to a patch is lost, and the operator's tool retries with the same
        # id.  The patch must not be applied twice, nor be refused as stale.
        self.assertEqual(self.patch().json(), {"version": 2})
        again = self.patch()
        self.assertEqual((again.status_code, again.json()), (200, {"version": 2}))
        self.assertEqual(len(self.daemon.configuration.documents), 2)
        self.patch(patch_id="patch-0002")
        events = self.daemon.recorder.after(0).events
        kinds = [event.kind.value for event in events]
        self.assertEqual(kinds, ["config.patched"] * 2 + ["config.refused"])

    def test_odd_patches_are_refused(self) -> None:
        # Guards against an internal error for a body that is nested too deeply.
        patch = {"base_version": 1, "patch_id": "patch-0001", "patch": {"zones": {}}}
        for data in list_odd_documents(patch):
            answer = self.call("POST", PATCHES, content=data)
            self.assertIn(answer.status_code, (200, 409, 422), data[:200])

    def test_each_refusal_has_its_http_status(self) -> None:
        stale = self.patch(base_version=9)
        self.assertEqual(stale.status_code, 409)
        self.assertEqual(stale.json()["current_version"], 1)
        invalid = self.patch(patch={"zones": {"kingston-a": "gone"}})
        self.assertEqual(invalid.status_code, 422)
        self.assertEqual(invalid.json()["errors"][0]["path"], "zones.kingston-a")
        self.daemon.configuration.is_down = True
        down = self.patch()
        self.assertEqual((down.status_code, down.json()["step"]), (503, "key_value"))
        self.assertEqual(down.json()["peer"], "10.0.0.9:2379")
        self.daemon.configuration.is_down = False
        self.daemon.configuration.lost_answers = 1
        self.assertEqual(self.patch().status_code, 504)

    def test_malformed_requests_change_nothing(self) -> None:
        bad = self.patch(patch_id="short", extra=1)
        paths = {error["path"] for error in bad.json()["errors"]}
        self.assertEqual((bad.status_code, paths), (422, {"patch_id", "extra"}))
        for content in (b"{", b"\xff", b"[]"):
            response = self.call("POST", PATCHES, content=content)
            self.assertEqual(response.status_code, 422)
        large = self.call("POST", PATCHES, content=b" " * 1_100_000)
        self.assertEqual((large.status_code, large.json()["step"]), (422, "bound"))
        self.assertEqual(self.daemon.configuration.calls, [])

    def test_earlier_versions_are_served(self) -> None:
        self.patch()
        path = "/admin/configuration/versions/"
        self.assertEqual(self.call("GET", path + "1").json()["zones"], {})
        self.assertEqual(self.call("GET", path + "7").status_code, 404)

    def test_events_are_paged_and_selected(self) -> None:
        recorder = self.daemon.recorder
        for i in range(5):
            recorder.record(EventKind.REQUEST_RECEIVED, request_id=f"r{i % 2}")
        page = self.call("GET", "/admin/events?after=1&limit=3&request=r0").json()
        self.assertEqual([e["sequence"] for e in page["events"]], [3, 5])
        self.assertEqual((page["next_after"], page["last_sequence"]), (5, 5))
        first = self.call("GET", "/admin/events?limit=2&request=r0").json()
        self.assertEqual([e["sequence"] for e in first["events"]], [1, 3])
        rest = self.call("GET", f"/admin/events?request=r0&after={first['next_after']}")
        self.assertEqual([e["sequence"] for e in rest.json()["events"]], [5])
        bad = self.call("GET", "/admin/events?after=-1")
        self.assertEqual(bad.status_code, 422)

    def test_unknown_path_or_method_has_the_common_error_body(self) -> None:
        missing = self.call("GET", "/admin/nothing")
        self.assertEqual(
            (missing.status_code, missing.json()["reason"]), (404, "not_found")
        )
        self.assertEqual(self.call("GET", PATCHES).status_code, 405)


if __name__ == "__main__":
    unittest.main()
