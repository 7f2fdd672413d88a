"""Tests of the view: what goes before what, and news that spreads once."""

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

    def chosen(self, now_s: float = 0.0) -> list[str]:
        return [each.name for each in self.view.list_eligible("agent", now_s)]

    def test_silent_link_is_no_evidence(self) -> None:
        # A process is stopped for some seconds, and its link goes silent.  Were
        # it taken for dead, its work would move away just before it goes on.
        self.view.record_link_up("quotes-0", 5)
        self.view.record_link_down("quotes-0", 1.0)
        self.assertEqual(self.chosen(1.0), ["quotes-0", "quotes-1"])

    def test_refused_dial_goes_before_the_list_until_it_shows_itself(self) -> None:
        # The process has died, and the instance list will name it for a while.
        self.view.record_refused_dial("quotes-0", 1.0)
        self.assertEqual(self.chosen(2.0), ["quotes-1"])
        self.view.apply_list([OWN, AGENT, OTHER], 3.0)
        self.assertEqual(self.chosen(3.0), ["quotes-1"])
        self.view.record_link_up("quotes-0", 6)
        self.assertEqual(self.chosen(4.0), ["quotes-0", "quotes-1"])

    def test_leaving_holds_for_its_incarnation_only(self) -> None:
        # A machine is replaced under the same name.  Late news of the old
        # process must not keep work from the new one.
        self.view.record_link_up("quotes-0", 5)
        self.assertTrue(self.view.apply_notice(notice(NoticeKind.LEAVING, 5), 1.0))
        self.assertFalse(self.view.apply_notice(notice(NoticeKind.LEAVING, 5), 1.0))
        self.view.apply_list([OWN, AGENT, OTHER], 1.0)
        self.assertEqual(self.chosen(), ["quotes-1"])
        self.view.record_incarnation("quotes-0", 6)
        self.assertFalse(self.view.apply_notice(notice(NoticeKind.LEAVING, 5), 2.0))
        self.assertEqual(self.chosen(), ["quotes-0", "quotes-1"])

    def test_removed_instance_stays_while_its_link_does(self) -> None:
        self.view.record_link_up("quotes-0", 5)
        self.view.apply_list([OWN, OTHER], 1.0)
        self.assertEqual(self.chosen(1.0), ["quotes-0", "quotes-1"])
        self.view.record_link_down("quotes-0", 2.0)
        self.assertIsNone(self.view.member("quotes-0"))

    def test_own_word_of_joining_goes_before_a_lagging_list(self) -> None:
        view = MembershipView(OWN)
        self.assertTrue(view.apply_notice(notice(NoticeKind.JOINED, 3), 0.0))
        view.apply_list([OWN], 1.0)
        self.assertIsNotNone(view.member("quotes-0"))
        view.apply_list([OWN], 500.0)
        self.assertIsNone(view.member("quotes-0"))

    def test_listed_daemons_that_start_are_no_news(self) -> None:
        # The whole fleet starts at once.  Passing on every start to everybody
        # would fill the links just when they are needed.
        self.assertFalse(self.view.apply_notice(notice(NoticeKind.JOINED, 3), 0.0))

    def test_leaving_in_the_list_ends_with_it(self) -> None:
        leaving = replace(AGENT, state=InstanceState.LEAVING)
        self.view.apply_list([OWN, leaving, OTHER], 1.0)
        self.assertEqual(self.chosen(), ["quotes-1"])
        self.view.apply_list([OWN, AGENT, OTHER], 2.0)
        self.assertEqual(self.chosen(), ["quotes-0", "quotes-1"])

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(seed=st.integers(0, 2**32))
    def test_order_of_own_words_does_not_matter(self, seed: int) -> None:
        # News travels many ways and arrives in any order, more than once.
        rng = random.Random(seed)
        view = MembershipView(OWN)
        view.apply_list([OWN, AGENT], 0.0)
        words = [
            notice(kind, incarnation, rng.randrange(9))
            for incarnation in (1, 2, 3)
            for kind in (NoticeKind.JOINED, NoticeKind.LEAVING)
        ][: rng.randrange(1, 7)]
        newest = max(word.incarnation for word in words)
        is_leaving = words[-1].kind is NoticeKind.LEAVING
        rng.shuffle(words)
        for word in words + rng.sample(words, len(words) // 2):
            view.apply_notice(word, 0.0)
        member = view.member("quotes-0")
        assert member is not None
        self.assertEqual((member.incarnation, member.is_leaving), (newest, is_leaving))


class PollingTest(unittest.TestCase):
    def test_differences_are_to_the_own_last_read(self) -> None:
        differences = InstanceListTracker()
        self.assertEqual(differences.update([OWN, AGENT], 1), [])
        leaving = replace(AGENT, state=InstanceState.LEAVING)
        news = differences.update([leaving, OTHER], 2)
        self.assertEqual(
            sorted((each.kind.value, each.name) for each in news),
            [("joined", "quotes-1"), ("leaving", "quotes-0"), ("removed", "entry-0")],
        )

    def test_bytes_of_reading_are_bounded_at_any_size(self) -> None:
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
    def test_even_covering_and_stable(
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
            without = choose_entries(agent, entries[1:])
            self.assertLessEqual(len({*chosen} ^ {*without}), 2)
        for entry in entries:
            picked = choose_agents(entry, agents)
            self.assertEqual({agent.zone for agent in picked}, agent_zones)
            self.assertLessEqual(len(picked), 8 + zone_count)
            lost = choose_agents(entry, agents[1:])
            if {agent.zone for agent in agents[1:]} == agent_zones:
                self.assertLessEqual(len({*picked} ^ {*lost}), 2)


if __name__ == "__main__":
    unittest.main()
