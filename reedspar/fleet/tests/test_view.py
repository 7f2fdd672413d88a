"""Tests of a daemon's view of the fleet."""

import unittest

from reedspar.fleet import (
    DaemonChange,
    DaemonRecord,
    FleetView,
    RoutesChange,
    TargetChange,
    WeightsChange,
    ZoneChange,
)
from reedspar.fleet.tests.fakes import make_target
from reedspar.routes import RouteTable, ServiceParameters
from reedspar.timers import TimerService, VirtualClock

TABLE = RouteTable(2, services={"quotes": ServiceParameters("quotes", 10, 3.0, 36.0)})


class ViewTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.view = FleetView(TimerService(self.clock))
        self.view.apply(RoutesChange(TABLE))

    def is_cold(self, target_id: str) -> bool:
        known = self.view.target(target_id)
        assert known is not None
        return known.is_cold(self.clock.now_s())

    def test_older_route_table_is_ignored(self) -> None:
        # A peer sends an older table, with which a revoked key would work again.
        self.view.apply(RoutesChange(RouteTable(1)))
        self.assertIs(self.view.routes, TABLE)

    def test_new_target_is_assumed_cold(self) -> None:
        # A target's first record does not report its cold start.  A full share of
        # requests would overload and crash it.
        self.view.apply(TargetChange("t1", make_target("t1")))
        self.assertFalse(self.is_cold("t1"))
        self.view.mark_initialized()
        self.view.apply(TargetChange("t2", make_target("t2")))
        self.assertTrue(self.is_cold("t2"))
        self.view.apply(TargetChange("t2", make_target("t2", zone="b")))
        self.assertTrue(self.is_cold("t2"))
        self.clock.advance(3.1)
        self.assertFalse(self.is_cold("t2"))

    def test_restart_with_same_id_is_cold_start(self) -> None:
        # A target crashes and restarts empty and cold with the same id.
        self.view.apply(TargetChange("t1", make_target("t1", started_ms=1)))
        self.view.mark_initialized()
        self.view.apply(TargetChange("t1", make_target("t1", started_ms=2)))
        self.assertTrue(self.is_cold("t1"))

    def test_target_is_cold_for_reported_time(self) -> None:
        self.view.apply(TargetChange("t1", make_target("t1")))
        self.view.apply(TargetChange("t1", make_target("t1", cold_left_s=1.0)))
        self.assertTrue(self.is_cold("t1"))
        self.clock.advance(1.1)
        self.assertFalse(self.is_cold("t1"))

    def test_target_can_move_to_another_pool(self) -> None:
        # Another service reuses the address and id of a target.
        self.view.apply(TargetChange("t1", make_target("t1")))
        self.view.apply(TargetChange("t1", make_target("t1", pool="orders")))
        self.assertEqual(list(self.view.targets("quotes")), [])
        self.assertEqual(len(list(self.view.targets("orders"))), 1)

    def test_older_versions_are_ignored(self) -> None:
        for version in (2, 1, 2, 3):
            self.view.apply(WeightsChange("m", version))
        named = [item.version for item in self.view.versions_of("m")]
        self.assertEqual(named, [2, 3])

    def test_listeners_are_notified_of_effective_changes_only(self) -> None:
        notified = []
        self.view.on_change(notified.append)
        record = DaemonRecord("e1", "entry", "a", "r", "10.0.0.1", 1, 2)
        for change in (ZoneChange("a", True), DaemonChange("e1", record)):
            self.view.apply(change)
            self.view.apply(change)
        self.assertEqual(len(notified), 2)
        self.assertEqual(self.view.daemons("entry"), (record,))

    def test_later_registration_supersedes_an_earlier_one_at_its_address(self) -> None:
        # Guards against requests to targets that no longer exist: after a power loss,
        # their registrations remain beside those of their successors for seconds.
        earlier = TargetChange("t1", make_target("t1"), revision=5)
        later = TargetChange("t2", make_target("t2"), revision=9)
        for order in ((earlier, later), (later, earlier)):
            with self.subTest(first=order[0].target_id):
                self.setUp()
                for change in order:
                    self.view.apply(change)
                ids = [known.record.id for known in self.view.targets("quotes")]
                self.assertEqual(ids, ["t2"])
                self.assertEqual(self.view.target_count(), 1)
                self.assertTrue(self.view.is_superseded("t1"))

    def test_target_that_answers_at_its_address_is_current(self) -> None:
        # Guards against a registration by another program that takes the address of a
        # target, which would get no more requests.
        foreign = TargetChange("x1", make_target("x1"), revision=9)
        self.view.apply(TargetChange("t1", make_target("t1"), revision=5))
        self.view.apply(foreign)
        record = make_target("t1")
        self.view.confirm_address("t1", record.host, record.port + 1)
        self.view.confirm_address("unknown", record.host, record.port)
        self.assertTrue(self.view.is_superseded("t1"))
        self.view.confirm_address("t1", record.host, record.port)
        self.assertFalse(self.view.is_superseded("t1"))
        self.assertTrue(self.view.is_superseded("x1"))
        self.view.apply(foreign)
        self.assertTrue(self.view.is_superseded("x1"))
        self.view.apply(TargetChange("t2", make_target("t2"), revision=12))
        self.assertTrue(self.view.is_superseded("t1"))
        self.assertFalse(self.view.is_superseded("t2"))

    def test_late_write_of_an_earlier_target_does_not_bring_it_back(self) -> None:
        # Guards against the same after an outage of the store, in which writes of the
        # earlier target were delayed.
        for change in (
            TargetChange("t1", make_target("t1"), revision=5),
            TargetChange("t2", make_target("t2"), revision=9),
            TargetChange("t1", make_target("t1", slots=2), revision=11),
        ):
            self.view.apply(change)
        self.assertTrue(self.view.is_superseded("t1"))
        self.assertFalse(self.view.is_superseded("t2"))

    def test_target_that_restarts_under_its_earlier_id_is_current(self) -> None:
        # Guards against excluding a live target until a dead one's registration ends.
        for change in (
            TargetChange("t1", make_target("t1", started_ms=1), revision=5),
            TargetChange("t2", make_target("t2"), revision=9),
            TargetChange("t1", make_target("t1", started_ms=2), revision=11),
        ):
            self.view.apply(change)
        self.assertFalse(self.view.is_superseded("t1"))
        self.assertTrue(self.view.is_superseded("t2"))

    def test_target_remains_if_another_address_or_pool_is_registered(self) -> None:
        self.view.apply(TargetChange("t1", make_target("t1"), revision=5))
        self.view.apply(TargetChange("t2", make_target("t2", port=81), revision=6))
        self.view.apply(TargetChange("t3", make_target("t3", pool="o"), revision=7))
        self.assertFalse(self.view.is_superseded("t1"))
        self.assertEqual(self.view.target_count(), 3)

    def test_target_is_current_again_once_the_later_one_is_gone(self) -> None:
        self.view.apply(TargetChange("t1", make_target("t1"), revision=5))
        self.view.apply(TargetChange("t2", make_target("t2"), revision=6))
        self.view.apply(TargetChange("t2", None))
        self.assertFalse(self.view.is_superseded("t1"))


if __name__ == "__main__":
    unittest.main()
