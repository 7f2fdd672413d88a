"""Pass evidence of freshness between daemons: beacons, and ties of clocks."""

import random
from collections.abc import Callable

from reedspar.links import Network
from reedspar.messages import Sender
from reedspar.timers import TimerService

from .freshness import FreshnessTable, PeerClocks
from .messages import ClockProbe, ClockReply, FreshnessBeacon
from .view import DaemonView

__all__ = ["ATTESTATION_DELAY_S", "FreshnessExchange"]

ATTESTATION_DELAY_S = 1.5
"""After a start or a pause, time to hear what the zone learned meanwhile."""

FANOUT = 3
"""Peers that each push goes to; random, so that no stopped peer cuts others off."""
HUB_FANOUT = 4
LEAF_FANOUT = 1
"""Agents have links to few entries, and entries to many agents: were all to push
alike, entries would get three times the messages, mostly what they have told."""
PUSH_GAIN_S = 0.5
"""A confirmation that is newer by less is not worth a push while all is well."""
WORD_GAIN_S = 0.9
"""A zone's word that is newer by less is not worth a push of its own."""
NEVER_S = -1e9
DOUBT_AGE_S = 2.5
"""Evidence older than this is passed on, and asked for, at every tick."""
DOUBT_GAIN_S = 0.1
SILENT_AGE_S = 2.0
"""Without confirmation for so long, the word of every zone is passed on.

While the service confirms, only the own zone's word is, which its watchers
need: the words of eleven zones would treble the bytes of a beacon.
"""


class FreshnessExchange:
    """Spreads evidence by pushes to a few random peers, and asks when it gets old."""

    def __init__(
        self,
        network: Network,
        timers: TimerService,
        view: DaemonView,
        rng: random.Random,
        zone: str,
        is_hub: bool,
        held_version: Callable[[], int],
        handle_sender: Callable[[Sender], None],
    ) -> None:
        self._network = network
        self._timers = timers
        self._view = view
        self._rng = rng
        self._own_zone = frozenset({zone})
        self._is_hub = is_hub
        self._held_version = held_version
        self._note_sender = handle_sender
        self._clocks = PeerClocks()
        self._table = FreshnessTable()
        self._pushed_confirmed_s = NEVER_S
        self._pushed_word_s = NEVER_S
        self._lapsed_s = timers.now_s()
        network.subscribe(ClockProbe, self._on_probe)
        network.subscribe(ClockReply, self._on_reply)
        network.subscribe(FreshnessBeacon, self._on_beacon)

    @property
    def table(self) -> FreshnessTable:
        """Return the evidence at hand."""
        return self._table

    def age_s(self) -> float:
        """Return the age of the evidence in seconds; infinite without any."""
        as_of_s = self._table.as_of_s(self._view.zones())
        return float("inf") if as_of_s is None else self._timers.now_s() - as_of_s

    def zone_age_s(self, zone: str) -> float:
        """Return for how long nothing was heard of a zone, but could have been."""
        earliest_s = self._lapsed_s + ATTESTATION_DELAY_S
        attested_s = self._table.attested_s(zone) or earliest_s
        return self._timers.now_s() - max(attested_s, earliest_s)

    def lapse(self) -> None:
        """Drop all evidence and all ties of clocks."""
        self._table.lapse()
        self._clocks.lapse()
        self._pushed_confirmed_s = NEVER_S
        self._pushed_word_s = NEVER_S
        self._lapsed_s = self._timers.now_s()

    def run_tick(self, is_watching: bool) -> None:
        """Push what is newer; ask a few peers when the evidence gets old."""
        as_of_s = self._table.as_of_s(self._view.zones())
        now_s = self._timers.now_s()
        is_doubtful = as_of_s is None or now_s - as_of_s > DOUBT_AGE_S
        confirmed_s = self._table.confirmed_s or NEVER_S
        word_s = self._newest_word_s()
        gain_s = DOUBT_GAIN_S if is_doubtful else PUSH_GAIN_S
        if (
            confirmed_s - self._pushed_confirmed_s >= gain_s
            or word_s - self._pushed_word_s >= max(gain_s, WORD_GAIN_S)
        ):
            self._pushed_confirmed_s = confirmed_s
            self._pushed_word_s = word_s
            self._push_to(HUB_FANOUT if self._is_hub or is_watching else LEAF_FANOUT)
        if is_doubtful:
            for peer in self._choose_peers(FANOUT):
                self._probe(peer)

    def push(self) -> None:
        """Send a beacon, and with it the own version, to a few peers."""
        self._push_to(FANOUT)

    def tell(self, peer: str) -> None:
        """Send a beacon to one peer."""
        self._network.send(peer, self._make_beacon())

    def _newest_word_s(self) -> float:
        """Return a time that grows whenever some zone's word got newer."""
        times = [self._table.attested_s(zone) for zone in self._zones_to_tell()]
        known = [time_s for time_s in times if time_s is not None]
        return max(known, default=NEVER_S)

    def _push_to(self, count: int) -> None:
        beacon = self._make_beacon()
        for peer in self._choose_peers(count):
            self._network.send(peer, beacon)

    def _choose_peers(self, count: int) -> list[str]:
        peers = self._network.peers()
        return self._rng.sample(peers, min(count, len(peers)))

    def _make_beacon(self) -> FreshnessBeacon:
        now_s = self._timers.now_s()
        return self._table.make_beacon(now_s, self._clock_ms(), self._zones_to_tell())

    def _zones_to_tell(self) -> frozenset[str]:
        confirmed_s = self._table.confirmed_s
        if confirmed_s is None or self._timers.now_s() - confirmed_s > SILENT_AGE_S:
            return self._view.zones()
        return self._own_zone

    def _clock_ms(self) -> int:
        return int(self._timers.now_s() * 1000)

    def _probe(self, peer: str) -> None:
        nonce = self._clocks.begin_probe(peer, self._timers.now_s())
        if nonce is not None:
            self._network.send(peer, ClockProbe(nonce))

    def _on_probe(self, sender: Sender, message: ClockProbe) -> None:
        self._note_sender(sender)
        reply = ClockReply(message.nonce, self._clock_ms())
        self._network.send(sender.name, reply)
        self.tell(sender.name)

    def _on_reply(self, sender: Sender, message: ClockReply) -> None:
        self._note_sender(sender)
        self._clocks.note_reply(
            sender.name, sender.incarnation, message.nonce, message.clock_ms
        )

    def _on_beacon(self, sender: Sender, message: FreshnessBeacon) -> None:
        self._note_sender(sender)
        # Evidence about an older version stays true for a newer one.  The other
        # way round it would hide the newer version from this daemon.
        if sender.config_version == 0 or sender.config_version > self._held_version():
            return
        now_s = self._timers.now_s()
        if self._clocks.needs_probe(sender.name, sender.incarnation, now_s):
            self._probe(sender.name)
        written_s = self._clocks.earliest_s(
            sender.name, sender.incarnation, message.clock_ms, now_s
        )
        if written_s is not None:
            self._table.note_beacon(message, written_s)
