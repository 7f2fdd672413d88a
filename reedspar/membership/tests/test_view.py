"""Tests of the view's precedence of evidence, of polling and of link subsets."""

import random
import unittest
from dataclasses import replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from reedspar.membership import MembershipView, NoticeKind
from reedspar.membership.messages import make_notice
from reedspar.membership.polling import InstanceListTracker, poll_interval_s
from reedspar.membership.subsets import choose_agents, choose_entries
from reedspar.platform import InstanceRecord, InstanceState


def record(name: str, role: str = "agent", zone: str = "kingston") -> InstanceRecord:
    pool = "quotes" if role == "agent" else ""
    return InstanceRecord(name, role, zone, "east", "127.0.0.1", 1, 2, pool=pool)


OWN = record("entry-0", "entry")
AGENT = record("quotes-0")
OTHER = record("quotes-1")


def notice(kind: NoticeKind, incarnation: int, observed_ms: int = 1) -> Any:
    return make_notice(kind, AGENT, incarnation, observed_ms)


class ViewTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = MembershipView(OWN)
        self.view.apply_list([OWN, AGENT, OTHER], 0.0)

    def eligible_names(self, now_s: float = 0.0) -> list[str]:
        return [each.name for each in self.view.list_eligible("agent", now_s)]

    def test_lost_link_does_not_make_daemon_ineligible(self) -> None:
        # A process is paused for some seconds, and its link times out.  If it were
        # considered dead, its work would be moved just before it resumes.
        self.view.record_link_up("quotes-0", 5)
        self.view.record_link_down("quotes-0", 1.0)
        self.assertEqual(self.eligible_names(1.0), ["quotes-0", "quotes-1"])

    def test_refused_dial_overrides_list_until_link_is_up(self) -> None:
        # The process has died, but the instance list still contains it for a while.
        self.view.record_refused_dial("quotes-0", 1.0)
        self.assertEqual(self.eligible_names(2.0), ["quotes-1"])
        self.view.apply_list([OWN, AGENT, OTHER], 3.0)
        self.assertEqual(self.eligible_names(3.0), ["quotes-1"])
        self.view.record_link_up("quotes-0", 6)
        self.assertEqual(self.eligible_names(4.0), ["quotes-0", "quotes-1"])

    def test_leaving_applies_to_one_incarnation_only(self) -> None:
        # A machine is replaced by one of the same name.  Late notices about the old
        # process must not keep work from the new one.
        self.view.record_link_up("quotes-0", 5)
        self.assertTrue(self.view.apply_notice(notice(NoticeKind.LEAVING, 5), 1.0))
        self.assertFalse(self.view.apply_notice(notice(NoticeKind.LEAVING, 5), 1.0))
        self.view.apply_list([OWN, AGENT, OTHER], 1.0)
        self.assertEqual(self.eligible_names(), ["quotes-1"])
        self.view.record_incarnation("quotes-0", 6)
        self.assertFalse(self.view.apply_notice(notice(NoticeKind.LEAVING, 5), 2.0))
        self.assertEqual(self.eligible_names(), ["quotes-0", "quotes-1"])

    def test_removed_instance_is_kept_while_its_link_is_open(self) -> None:
        self.view.record_link_up("quotes-0", 5)
        self.view.apply_list([OWN, OTHER], 1.0)
        self.assertEqual(self.eligible_names(1.0), ["quotes-0", "quotes-1"])
        self.view.record_link_down("quotes-0", 2.0)
        self.assertIsNone(self.view.member("quotes-0"))

    def test_join_notice_overrides_lagging_list(self) -> None:
        view = MembershipView(OWN)
        self.assertTrue(view.apply_notice(notice(NoticeKind.JOINED, 3), 0.0))
        view.apply_list([OWN], 1.0)
        self.assertIsNotNone(view.member("quotes-0"))
        view.apply_list([OWN], 500.0)
        self.assertIsNone(view.member("quotes-0"))

    def test_start_of_listed_daemon_is_not_passed_on(self) -> None:
        # The whole fleet starts at once.  If each start were passed on to every daemon,
        # the links would be saturated when they are most needed.
        self.assertFalse(self.view.apply_notice(notice(NoticeKind.JOINED, 3), 0.0))

    def test_listed_leaving_state_can_end(self) -> None:
        leaving = replace(AGENT, state=InstanceState.LEAVING)
        self.view.apply_list([OWN, leaving, OTHER], 1.0)
        self.assertEqual(self.eligible_names(), ["quotes-1"])
        self.view.apply_list([OWN, AGENT, OTHER], 2.0)
        self.assertEqual(self.eligible_names(), ["quotes-0", "quotes-1"])

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(seed=st.integers(0, 2**32))
    def test_result_is_independent_of_notice_order(self, seed: int) -> None:
        # Gossip takes many paths, so notices arrive repeatedly and in any order.
        rng = random.Random(seed)
        view = MembershipView(OWN)
        view.apply_list([OWN, AGENT], 0.0)
        notices = [
            notice(kind, incarnation, rng.randrange(9))
            for incarnation in (1, 2, 3)
            for kind in (NoticeKind.JOINED, NoticeKind.LEAVING)
        ][: rng.randrange(1, 7)]
        newest = max(each.incarnation for each in notices)
        is_leaving = notices[-1].kind is NoticeKind.LEAVING
        rng.shuffle(notices)
        for each in notices + rng.sample(notices, len(notices) // 2):
            view.apply_notice(each, 0.0)
        member = view.member("quotes-0")
        assert member is not None
        self.assertEqual((member.incarnation, member.is_leaving), (newest, is_leaving))


class PollingTest(unittest.TestCase):
    def test_changes_are_relative_to_previous_read(self) -> None:
        tracker = InstanceListTracker()
        self.assertEqual(tracker.update([OWN, AGENT], 1), [])
        leaving = replace(AGENT, state=InstanceState.LEAVING)
        changes = tracker.update([leaving, OTHER], 2)
        self.assertEqual(
            sorted((each.kind.value, each.name) for each in changes),
            [("joined", "quotes-1"), ("leaving", "quotes-0"), ("removed", "entry-0")],
        )

    def test_poll_interval_grows_with_list_size(self) -> None:
        self.assertEqual(poll_interval_s(5.0, 18, True), 5.0)
        self.assertGreaterEqual(poll_interval_s(5.0, 2490, True), 100.0)


class SubsetsTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=30, deadline=None)
    @given(
        entry_count=st.integers(1, 40),
        agent_count=st.integers(1, 120),
        zone_count=st.integers(1, 6),
        seed=st.integers(0, 99),
    )
    def test_subsets_are_even_cover_zones_and_are_stable(
        self, entry_count: int, agent_count: int, zone_count: int, seed: int
    ) -> None:
        rng = random.Random(seed)
        zones = [f"zone-{i}" for i in range(zone_count)]
        entries = [
            record(f"e-{i}", "entry", rng.choice(zones)) for i in range(entry_count)
        ]
        agents = [
            record(f"a-{i}", "agent", rng.choice(zones)) for i in range(agent_count)
        ]
        agent_zones = {agent.zone for agent in agents}
        for agent in agents:
            chosen = choose_entries(agent, entries)
            self.assertEqual(len(chosen), min(4, entry_count))
            without_first = choose_entries(agent, entries[1:])
            self.assertLessEqual(len({*chosen} ^ {*without_first}), 2)
        for entry in entries:
            chosen_agents = choose_agents(entry, agents)
            self.assertEqual({agent.zone for agent in chosen_agents}, agent_zones)
            self.assertLessEqual(len(chosen_agents), 8 + zone_count)
            without_first = choose_agents(entry, agents[1:])
            if {agent.zone for agent in agents[1:]} == agent_zones:
                self.assertLessEqual(len({*chosen_agents} ^ {*without_first}), 2)


if __name__ == "__main__":
    unittest.main()
