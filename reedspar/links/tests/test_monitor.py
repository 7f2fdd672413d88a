"""Tests of the detection of silent, replaced and failed links."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from reedspar.errors import Reason
from reedspar.links.monitor import (
    CloseConnection,
    Dial,
    LinkChange,
    LinkMonitor,
    LinkTimings,
    Notify,
    SendHeartbeat,
)

TIMINGS = LinkTimings(
    heartbeat_s=0.5, idle_heartbeat_s=2.0, silence_s=1.5, dial_timeout_s=1.0
)
TICK_S = 0.1


def create_monitor(*, is_desired: bool = True) -> LinkMonitor:
    return LinkMonitor(TIMINGS, random.Random(1), is_desired=is_desired)


def run(monitor: LinkMonitor, from_s: float, to_s: float) -> list:
    actions = []
    for i in range(round((to_s - from_s) / TICK_S) + 1):
        actions += monitor.tick(from_s + i * TICK_S)
    return actions


class LinkMonitorTest(unittest.TestCase):
    def test_silent_connection_is_replaced_before_the_peer_is_down(self) -> None:
        # A middlebox loses the state of a connection: no frame arrives any more,
        # although the peer works.  It must not be reported as down.
        monitor = create_monitor()
        self.assertEqual(monitor.handle_opened(1, 0.0), [Notify(LinkChange.UP)])
        monitor.record_traffic(0.0)
        actions = run(monitor, 0.1, 1.8)
        self.assertIn(Dial(), actions)
        self.assertNotIn(LinkChange.DOWN, [getattr(a, "change", 0) for a in actions])
        replaced = monitor.handle_opened(2, 1.9)
        self.assertEqual(replaced, [Notify(LinkChange.REPLACED)])
        self.assertEqual(monitor.connections[-1], 2)

    def test_idle_link_is_not_silent_when_traffic_starts(self) -> None:
        # An idle link has a heartbeat every two seconds, and traffic starts just before
        # the next one.  If the link counted as silent then, both ends would dial again,
        # and the first requests for a new version would be lost for three seconds.
        monitor = create_monitor()
        monitor.handle_opened(1, 0.0)
        monitor.record_received(8.0)
        monitor.record_sent(9.8)
        self.assertNotIn(Dial(), run(monitor, 9.8, 11.2))
        self.assertIn(Dial(), run(monitor, 11.3, 11.7))

    def test_frozen_peer_is_down_only_after_the_redial_timeout(self) -> None:
        # The peer is stopped: its kernel accepts the connection, but sends no hello.
        monitor = create_monitor()
        monitor.handle_opened(1, 0.0)
        monitor.record_traffic(0.0)
        self.assertIn(Dial(), run(monitor, 0.1, 1.6))
        self.assertEqual(monitor.handle_dial_failure(Reason.TIMEOUT, 2.6), [])
        actions = run(monitor, 2.7, 6.0)
        self.assertIn(Notify(LinkChange.DOWN, Reason.TIMEOUT), actions)
        self.assertIn(CloseConnection(1), actions)

    def test_refused_dial_marks_the_peer_as_down_at_once(self) -> None:
        # The process was killed, so its host refuses the connection.
        monitor = create_monitor()
        monitor.handle_opened(1, 0.0)
        monitor.handle_closed(1, 0.5)
        self.assertIn(Dial(), monitor.tick(0.6))
        down = monitor.handle_dial_failure(Reason.UNAVAILABLE, 0.6)
        self.assertEqual(down, [Notify(LinkChange.DOWN, Reason.UNAVAILABLE)])

    def test_pause_of_this_process_marks_no_peer_as_down(self) -> None:
        # This process is stopped for ten seconds and continued.  Without the
        # correction, every peer would seem silent, and all links would be dropped.
        monitor = create_monitor()
        monitor.handle_opened(1, 0.0)
        monitor.record_traffic(0.0)
        monitor.handle_pause(10.0)
        actions = monitor.tick(10.1)
        self.assertEqual(actions, [SendHeartbeat()])

    def test_silent_link_is_closed_by_the_end_that_does_not_dial(self) -> None:
        # The path from the dialling end to this one fails, but the way back works.
        # The dialling end receives every heartbeat, and dials only after the close.
        monitor = create_monitor(is_desired=False)
        monitor.handle_opened(1, 0.0)
        monitor.record_traffic(0.0)
        actions = run(monitor, 0.1, 2.0)
        self.assertIn(CloseConnection(1), actions)
        self.assertNotIn(Dial(), actions)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 4), st.floats(0.0, 3.0)), max_size=40))
    def test_up_and_down_notifications_alternate(
        self, steps: list[tuple[int, float]]
    ) -> None:
        history = LinkHistory(self)
        for kind, gap_s in steps:
            history.take_step(kind, gap_s)
        is_up = False
        down_first = (LinkChange.UP, LinkChange.REFUSED)
        for change in history.notices:
            self.assertEqual(is_up, change not in down_first)
            is_up = change in (LinkChange.UP, LinkChange.REPLACED)
        self.assertEqual(is_up, history.monitor.is_up)


class LinkHistory:
    """A random history of one link, including the dials that it requests."""

    def __init__(self, case: unittest.TestCase) -> None:
        self.case = case
        self.monitor = create_monitor()
        self.now_s = 0.0
        self.last_connection = 0
        self.notices: list[LinkChange] = []
        self.is_dialling = False

    def take_step(self, kind: int, gap_s: float) -> None:
        self.now_s += gap_s
        self.apply_actions(self.monitor.tick(self.now_s))
        if kind == 0 and self.is_dialling:
            self.is_dialling = self.monitor.is_dialling = False
            self.last_connection += 1
            self.apply_actions(
                self.monitor.handle_opened(self.last_connection, self.now_s)
            )
        elif kind in (1, 2) and self.is_dialling:
            self.is_dialling = False
            reason = Reason.TIMEOUT if kind == 1 else Reason.UNAVAILABLE
            self.apply_actions(self.monitor.handle_dial_failure(reason, self.now_s))
        elif kind == 3 and self.monitor.connections:
            oldest = self.monitor.connections[0]
            self.apply_actions(self.monitor.handle_closed(oldest, self.now_s))
        elif kind == 4:
            self.monitor.record_received(self.now_s)

    def apply_actions(self, actions: list) -> None:
        for action in actions:
            if isinstance(action, Notify):
                self.notices.append(action.change)
            elif isinstance(action, Dial):
                self.case.assertFalse(self.is_dialling, "two dials at a time")
                self.is_dialling = True


if __name__ == "__main__":
    unittest.main()
