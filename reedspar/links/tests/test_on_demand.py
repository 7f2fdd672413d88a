"""Tests of links that are dialled when a message is to be sent."""

import unittest

from reedspar.errors import Failure, Reason, Step
from reedspar.links import LinkChange, LinkEvent, PeerAddress
from reedspar.links.on_demand import OnDemandLimits, OnDemandNetwork
from reedspar.timers import TimerService, VirtualClock


class FakeNetwork:
    def __init__(self) -> None:
        self.sent: list[tuple[str, str]] = []
        self.open: set[str] = set()
        self.desired: set[str] = set()

    def on_link_event(self, listener) -> None:
        self.listener = listener

    def set_desired_peers(self, owner, peers) -> None:
        self.addresses = {peer.name: peer.port for peer in peers}
        self.desired = set(self.addresses)

    def send(self, peer, message, priority=0):
        if peer not in self.open:
            return Failure(Reason.UNAVAILABLE, Step.LINK, peer)
        self.sent.append((peer, message))
        return None

    def open_link(self, peer: str) -> None:
        self.open.add(peer)
        self.listener(LinkEvent(peer, 1, LinkChange.UP))


class OnDemandNetworkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.timers = TimerService(self.clock, pause_threshold_s=1000.0)
        self.inner = FakeNetwork()
        self.port = 1
        self.network = OnDemandNetwork(
            self.inner,
            self.timers,
            "test",
            self.resolve,
            OnDemandLimits(
                max_links=2,
                max_queued_messages=2,
                queue_timeout_s=2.0,
                idle_timeout_s=30.0,
            ),
        )

    def resolve(self, name: str) -> PeerAddress | None:
        return None if name == "gone" else PeerAddress(name, "127.0.0.1", self.port)

    def advance(self, by_s: float) -> None:
        self.clock.advance(by_s)
        self.timers.run_due()

    def test_message_is_queued_until_its_link_is_open(self) -> None:
        self.assertIsNone(self.network.send("a", "m1"))
        self.assertEqual(self.inner.desired, {"a"})
        self.inner.open_link("a")
        self.assertEqual(self.inner.sent, [("a", "m1")])

    def test_expired_messages_are_not_sent_on_a_late_link(self) -> None:
        # The peer is frozen for a while.  The request was sent to other peers in the
        # meantime, so sending it late would only produce a second answer.
        self.network.send("a", "m1")
        self.advance(3.0)
        self.inner.open_link("a")
        self.assertEqual(self.inner.sent, [])

    def test_links_and_queued_messages_are_bounded(self) -> None:
        for message in ("m1", "m2", "m3"):
            self.network.send("a", message)
        self.network.send("b", "m")
        self.network.send("c", "m")
        self.assertEqual(self.inner.desired, {"b", "c"})
        self.inner.open_link("a")
        self.assertEqual(self.inner.sent, [])
        self.advance(31.0)
        self.assertEqual(self.inner.desired, set())

    def test_replaced_peer_is_dialled_at_its_new_address(self) -> None:
        # An instance is replaced by one with the same name at another address.  The old
        # address would refuse connections until the link is removed as idle.
        self.network.send("a", "m1")
        self.port = 2
        self.network.send("a", "m2")
        self.assertEqual(self.inner.addresses, {"a": 2})

    def test_send_to_unknown_peer_fails(self) -> None:
        failure = self.network.send("gone", "m")
        self.assertIs(failure.reason, Reason.UNAVAILABLE)


if __name__ == "__main__":
    unittest.main()
