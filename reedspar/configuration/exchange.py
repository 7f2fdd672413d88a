"""Gossip protocol for evidence of freshness, dated by probes of the peers' clocks."""

import random
from collections.abc import Callable

from reedspar.links import Network
from reedspar.messages import Sender
from reedspar.timers import TimerService
from reedspar.utils import sample_up_to

from .freshness import FreshnessTable, PeerClocks
from .messages import ClockProbe, ClockReply, FreshnessBeacon
from .view import DaemonView

__all__ = ["ATTESTATION_DELAY_S", "FreshnessExchange"]

ATTESTATION_DELAY_S = 1.5
"""Wait after a start or a pause before attesting.

Meanwhile peers send any newer version that the zone has learned of.
"""

PUSH_FANOUT = 3
"""Peers per push of a new version, and per round of probes.

The choice is random so that a stopped peer cannot cut others off.
"""
HUB_PUSH_FANOUT = 4
LEAF_PUSH_FANOUT = 1
"""Periodic pushes use a larger fan-out at entries and watchers than at other agents.

Agents have links to few entries, and entries to many agents.  With equal fan-outs,
entries would receive three times the messages, mostly with evidence that they had
sent themselves.
"""
CONFIRMATION_PUSH_STEP_S = 0.5
"""Minimum advance of the confirmation time that triggers a push.

It applies while the evidence is recent.
"""
ATTESTATION_PUSH_STEP_S = 0.9
"""Minimum advance of the attestation time that triggers a push by itself."""
LONG_AGO_S = -1e9
"""Stands for the time of evidence that does not exist; precedes any other time."""
AGING_THRESHOLD_S = 2.5
"""Beyond this age, evidence is pushed at smaller steps and requested at every tick."""
AGING_PUSH_STEP_S = 0.1
CONFIRMATION_LOSS_THRESHOLD_S = 2.0
"""Age of the confirmation beyond which beacons carry the attestations of all zones.

Below it they carry only that of the sender's zone, which the standby watchers there
need.  The attestations of eleven zones would triple the size of a beacon.
"""


class FreshnessExchange:
    """Pushes evidence to a few random peers, and requests it when it gets old."""

    def __init__(
        self,
        network: Network,
        timers: TimerService,
        view: DaemonView,
        rng: random.Random,
        zone: str,
        is_entry: bool,
        held_version: Callable[[], int],
        handle_sender: Callable[[Sender], None],
    ) -> None:
        self._network = network
        self._timers = timers
        self._view = view
        self._rng = rng
        self._own_zone = frozenset({zone})
        self._is_entry = is_entry
        self._held_version = held_version
        self._handle_sender = handle_sender
        self._clocks = PeerClocks()
        self._table = FreshnessTable()
        self._pushed_confirmed_s = LONG_AGO_S
        self._pushed_attestation_s = LONG_AGO_S
        self._invalidated_s = timers.now_s()
        network.subscribe(ClockProbe, self._handle_probe)
        network.subscribe(ClockReply, self._handle_reply)
        network.subscribe(FreshnessBeacon, self._handle_beacon)

    @property
    def table(self) -> FreshnessTable:
        """Return the evidence held."""
        return self._table

    def freshness_age_s(self) -> float:
        """Return the age of the evidence in s; infinite without any."""
        verified_at_s = self._table.verified_at_s(self._view.zones())
        return (
            float("inf")
            if verified_at_s is None
            else self._timers.now_s() - verified_at_s
        )

    def attestation_age_s(self, zone: str) -> float:
        """Return the age in s of a zone's latest attestation.

        Time in which this daemon could not have received one does not count.
        """
        earliest_s = self._invalidated_s + ATTESTATION_DELAY_S
        attested_s = self._table.attested_s(zone) or earliest_s
        return self._timers.now_s() - max(attested_s, earliest_s)

    def invalidate(self) -> None:
        """Discard all evidence and all readings of peers' clocks."""
        self._table.invalidate()
        self._clocks.invalidate()
        self._pushed_confirmed_s = LONG_AGO_S
        self._pushed_attestation_s = LONG_AGO_S
        self._invalidated_s = self._timers.now_s()

    def run_tick(self, is_watching: bool) -> None:
        """Push newer evidence; probe a few peers if the held evidence gets old."""
        verified_at_s = self._table.verified_at_s(self._view.zones())
        now_s = self._timers.now_s()
        is_aging = verified_at_s is None or now_s - verified_at_s > AGING_THRESHOLD_S
        confirmed_s = self._table.confirmed_s or LONG_AGO_S
        attested_s = self._latest_attestation_s()
        step_s = AGING_PUSH_STEP_S if is_aging else CONFIRMATION_PUSH_STEP_S
        if (
            confirmed_s - self._pushed_confirmed_s >= step_s
            or attested_s - self._pushed_attestation_s
            >= max(step_s, ATTESTATION_PUSH_STEP_S)
        ):
            self._pushed_confirmed_s = confirmed_s
            self._pushed_attestation_s = attested_s
            self._push_to(
                HUB_PUSH_FANOUT if self._is_entry or is_watching else LEAF_PUSH_FANOUT
            )
        if is_aging:
            for peer in self._choose_peers(PUSH_FANOUT):
                self._probe(peer)

    def push_beacons(self) -> None:
        """Send a beacon, whose frame carries the held version, to a few peers."""
        self._push_to(PUSH_FANOUT)

    def send_beacon(self, peer: str) -> None:
        """Send a beacon to one peer."""
        self._network.send(peer, self._make_beacon())

    def _latest_attestation_s(self) -> float:
        """Return the time of the newest attestation of the reported zones."""
        times = [self._table.attested_s(zone) for zone in self._zones_to_report()]
        known = [time_s for time_s in times if time_s is not None]
        return max(known, default=LONG_AGO_S)

    def _push_to(self, count: int) -> None:
        beacon = self._make_beacon()
        for peer in self._choose_peers(count):
            self._network.send(peer, beacon)

    def _choose_peers(self, count: int) -> list[str]:
        return sample_up_to(self._rng, self._network.peers(), count)

    def _make_beacon(self) -> FreshnessBeacon:
        now_s = self._timers.now_s()
        return self._table.make_beacon(now_s, self._clock_ms(), self._zones_to_report())

    def _zones_to_report(self) -> frozenset[str]:
        confirmed_s = self._table.confirmed_s
        if (
            confirmed_s is None
            or self._timers.now_s() - confirmed_s > CONFIRMATION_LOSS_THRESHOLD_S
        ):
            return self._view.zones()
        return self._own_zone

    def _clock_ms(self) -> int:
        return int(self._timers.now_s() * 1000)

    def _probe(self, peer: str) -> None:
        nonce = self._clocks.begin_probe(peer, self._timers.now_s())
        if nonce is not None:
            self._network.send(peer, ClockProbe(nonce))

    def _handle_probe(self, sender: Sender, message: ClockProbe) -> None:
        self._handle_sender(sender)
        reply = ClockReply(message.nonce, self._clock_ms())
        self._network.send(sender.name, reply)
        self.send_beacon(sender.name)

    def _handle_reply(self, sender: Sender, message: ClockReply) -> None:
        self._handle_sender(sender)
        self._clocks.record_reply(
            sender.name, sender.incarnation, message.nonce, message.clock_ms
        )

    def _handle_beacon(self, sender: Sender, message: FreshnessBeacon) -> None:
        self._handle_sender(sender)
        # Evidence that an older version was the newest also holds for the newer one
        # held here.  Evidence for a newer version does not: accepting it would hide
        # that version from this daemon.
        if sender.config_version == 0 or sender.config_version > self._held_version():
            return
        now_s = self._timers.now_s()
        if self._clocks.needs_probe(sender.name, sender.incarnation, now_s):
            self._probe(sender.name)
        written_s = self._clocks.earliest_local_s(
            sender.name, sender.incarnation, message.clock_ms, now_s
        )
        if written_s is not None:
            self._table.record_beacon(message, written_s)
