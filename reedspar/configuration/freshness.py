"""How long ago this daemon's version was surely the newest.

Two kinds of evidence count, and docs/design/configuration.md proves them:

- *confirmed*: the key-value service answered that it held nothing newer;
- *attested*: every availability zone said that it knew of nothing newer.

Both say "as of a time", both stay true for every later version, and both are
passed on between daemons.  An age in a frame cannot be trusted: the frame may
have waited in a socket while its reader was stopped.  So evidence from a peer
is dated by the peer's clock, which a round trip has tied to the own one.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from .messages import NO_AGE_MS, Attestation, FreshnessBeacon

__all__ = ["FreshnessTable", "PeerClocks", "age_to_ms"]

CLOCK_DRIFT = 0.001
"""No two clocks differ more in rate; crystals stay under 0.0002."""
CLOCK_TTL_S = 60.0
CLOCK_REFRESH_S = 30.0
PROBE_TIMEOUT_S = 0.5


def age_to_ms(age_s: float | None) -> int:
    """Return an age for the wire, rounded up."""
    if age_s is None:
        return NO_AGE_MS
    return min(int(max(age_s, 0.0) * 1000) + 1, NO_AGE_MS - 1)


@dataclass(slots=True)
class _PeerClock:
    """The peer's clock read `peer_s` at or after `own_s` on the own clock."""

    incarnation: int
    own_s: float
    peer_s: float


@dataclass(slots=True)
class _Probe:
    nonce: int
    sent_s: float


class PeerClocks:
    """Ties the clocks of peers to the own one by round trips."""

    def __init__(self) -> None:
        self._clocks: dict[str, _PeerClock] = {}
        self._probes: dict[str, _Probe] = {}
        self._nonce = 0

    def begin_probe(self, peer: str, now_s: float) -> int | None:
        """Return the nonce of a probe to send now, or None if one is under way."""
        probe = self._probes.get(peer)
        if probe is not None and now_s - probe.sent_s < PROBE_TIMEOUT_S:
            return None
        self._nonce += 1
        self._probes[peer] = _Probe(self._nonce, now_s)
        return self._nonce

    def note_reply(
        self, peer: str, incarnation: int, nonce: int, clock_ms: int
    ) -> bool:
        """Tie the peer's clock; tell whether the reply matched the open probe."""
        probe = self._probes.get(peer)
        if probe is None or probe.nonce != nonce:
            return False
        del self._probes[peer]
        # The wire rounds down; the later reading dates all evidence earlier.
        peer_s = (clock_ms + 1) / 1000
        self._clocks[peer] = _PeerClock(incarnation, probe.sent_s, peer_s)
        return True

    def needs_probe(self, peer: str, incarnation: int, now_s: float) -> bool:
        """Tell whether the peer's clock is unknown or was tied long ago."""
        clock = self._clocks.get(peer)
        if clock is None or clock.incarnation != incarnation:
            return True
        return now_s - clock.own_s > CLOCK_REFRESH_S

    def earliest_s(
        self, peer: str, incarnation: int, clock_ms: int, now_s: float
    ) -> float | None:
        """Return the earliest own time at which the peer's clock read `clock_ms`."""
        clock = self._clocks.get(peer)
        if clock is None or clock.incarnation != incarnation:
            return None
        if now_s - clock.own_s > CLOCK_TTL_S:
            return None
        elapsed_s = clock_ms / 1000 - clock.peer_s
        return min(now_s, clock.own_s + elapsed_s - abs(elapsed_s) * CLOCK_DRIFT)

    def forget(self, peer: str) -> None:
        """Drop what is known of a peer."""
        self._clocks.pop(peer, None)
        self._probes.pop(peer, None)

    def lapse(self) -> None:
        """Drop every tie and every open probe, after a pause."""
        self._clocks.clear()
        self._probes.clear()


class FreshnessTable:
    """The evidence that nothing newer than the own version is in force."""

    def __init__(self) -> None:
        self._confirmed_s: float | None = None
        self._attested_s: dict[str, float] = {}

    @property
    def confirmed_s(self) -> float | None:
        """Return the time of the newest confirmation by the key-value service."""
        return self._confirmed_s

    def attested_s(self, zone: str) -> float | None:
        """Return the time of a zone's newest word."""
        return self._attested_s.get(zone)

    def note_confirmed(self, at_s: float) -> None:
        """Take in a confirmation as of `at_s`."""
        if self._confirmed_s is None or at_s > self._confirmed_s:
            self._confirmed_s = at_s

    def note_attested(self, zone: str, at_s: float) -> None:
        """Take in a zone's word as of `at_s`."""
        if at_s > self._attested_s.get(zone, float("-inf")):
            self._attested_s[zone] = at_s

    def note_beacon(self, beacon: FreshnessBeacon, written_s: float) -> None:
        """Take in a peer's evidence, written at `written_s` or later."""
        if beacon.confirmed_age_ms != NO_AGE_MS:
            self.note_confirmed(written_s - beacon.confirmed_age_ms / 1000)
        for item in beacon.attestations:
            if item.age_ms != NO_AGE_MS:
                self.note_attested(item.zone, written_s - item.age_ms / 1000)

    def as_of_s(self, zones: Iterable[str]) -> float | None:
        """Return when the own version was surely the newest; None: never known.

        `zones` are all zones that may hold a daemon; none: not known yet.
        """
        times = [self._attested_s.get(zone) for zone in zones]
        known = [time_s for time_s in times if time_s is not None]
        attested_s = min(known) if known and len(known) == len(times) else None
        if self._confirmed_s is None or attested_s is None:
            return attested_s if self._confirmed_s is None else self._confirmed_s
        return max(self._confirmed_s, attested_s)

    def make_beacon(
        self, now_s: float, clock_ms: int, zones: Iterable[str]
    ) -> FreshnessBeacon:
        """Return what to tell a peer; of the zones, those given."""
        confirmed = self._confirmed_s
        return FreshnessBeacon(
            clock_ms,
            age_to_ms(None if confirmed is None else now_s - confirmed),
            tuple(
                Attestation(zone, age_to_ms(now_s - self._attested_s[zone]))
                for zone in sorted(zones)
                if zone in self._attested_s
            ),
        )

    def retain_zones(self, zones: frozenset[str]) -> None:
        """Drop zones that no daemon is in any more."""
        for zone in self._attested_s.keys() - zones:
            del self._attested_s[zone]

    def lapse(self) -> None:
        """Drop all evidence, after a pause."""
        self._confirmed_s = None
        self._attested_s.clear()
