"""Evidence of when this daemon's version was last known to be the newest.

There are two kinds of evidence (docs/design/configuration.md has the proofs):

- *confirmed*: the key-value service answered that it held nothing newer;
- *attested*: every availability zone stated that it knew of nothing newer.

Both refer to a point in time, remain valid for every later version, and are
forwarded between daemons.  An age in a frame cannot be used as such, because the
frame may have waited in a socket while its reader was stopped.  Evidence from a
peer is therefore dated by the peer's clock, which round trips relate to the local
clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from .messages import NO_AGE_MS, Attestation, FreshnessBeacon

__all__ = ["FreshnessTable", "PeerClocks", "age_to_ms"]

CLOCK_DRIFT = 0.001
"""Bound on the relative rate error of two clocks; quartz stays below 0.0002."""
CLOCK_READING_TTL_S = 60.0
"""Age beyond which a reading of a peer's clock is not used."""
CLOCK_READING_REFRESH_S = 30.0
"""Age beyond which a peer's clock is read again."""
CLOCK_PROBE_TIMEOUT_S = 0.5


def age_to_ms(age_s: float | None) -> int:
    """Return the wire value of an age, rounded up; None stands for "never"."""
    if age_s is None:
        return NO_AGE_MS
    return min(int(max(age_s, 0.0) * 1000) + 1, NO_AGE_MS - 1)


@dataclass(slots=True)
class _PeerClock:
    """A reading `peer_s` of the peer's clock, made at local time `local_s` or later."""

    incarnation: int
    local_s: float
    peer_s: float


@dataclass(slots=True)
class _Probe:
    nonce: int
    sent_s: float


class PeerClocks:
    """Maps clock readings of peers to the local clock by timing round trips."""

    def __init__(self) -> None:
        self._clocks: dict[str, _PeerClock] = {}
        self._probes: dict[str, _Probe] = {}
        self._nonce = 0

    def begin_probe(self, peer: str, now_s: float) -> int | None:
        """Return the nonce of a probe to send now, or None while one is pending."""
        probe = self._probes.get(peer)
        if probe is not None and now_s - probe.sent_s < CLOCK_PROBE_TIMEOUT_S:
            return None
        self._nonce += 1
        self._probes[peer] = _Probe(self._nonce, now_s)
        return self._nonce

    def record_reply(
        self, peer: str, incarnation: int, nonce: int, clock_ms: int
    ) -> bool:
        """Record the peer's clock; return whether the reply matches the probe."""
        probe = self._probes.get(peer)
        if probe is None or probe.nonce != nonce:
            return False
        del self._probes[peer]
        # The sender rounds down.  A later reading here dates all evidence earlier,
        # which is the safe direction.
        peer_s = (clock_ms + 1) / 1000
        self._clocks[peer] = _PeerClock(incarnation, probe.sent_s, peer_s)
        return True

    def needs_probe(self, peer: str, incarnation: int, now_s: float) -> bool:
        """Return whether the peer's clock is unknown or was last read long ago."""
        clock = self._clocks.get(peer)
        if clock is None or clock.incarnation != incarnation:
            return True
        return now_s - clock.local_s > CLOCK_READING_REFRESH_S

    def earliest_local_s(
        self, peer: str, incarnation: int, clock_ms: int, now_s: float
    ) -> float | None:
        """Return the earliest local time of the peer's clock reading `clock_ms`.

        None if the peer's clock is unknown or was last read too long ago.
        """
        clock = self._clocks.get(peer)
        if clock is None or clock.incarnation != incarnation:
            return None
        if now_s - clock.local_s > CLOCK_READING_TTL_S:
            return None
        elapsed_s = clock_ms / 1000 - clock.peer_s
        return min(now_s, clock.local_s + elapsed_s - abs(elapsed_s) * CLOCK_DRIFT)

    def discard_peer(self, peer: str) -> None:
        """Discard the state of a peer."""
        self._clocks.pop(peer, None)
        self._probes.pop(peer, None)

    def invalidate(self) -> None:
        """Discard all clocks and pending probes, after a pause."""
        self._clocks.clear()
        self._probes.clear()


class FreshnessTable:
    """Evidence that no version newer than the held one is in force."""

    def __init__(self) -> None:
        self._confirmed_s: float | None = None
        self._attested_s: dict[str, float] = {}

    @property
    def confirmed_s(self) -> float | None:
        """Return the time of the latest confirmation by the key-value service."""
        return self._confirmed_s

    def attested_s(self, zone: str) -> float | None:
        """Return the time of a zone's latest attestation."""
        return self._attested_s.get(zone)

    def record_confirmation(self, at_s: float) -> None:
        """Record a confirmation as of `at_s`."""
        if self._confirmed_s is None or at_s > self._confirmed_s:
            self._confirmed_s = at_s

    def record_attestation(self, zone: str, at_s: float) -> None:
        """Record a zone's attestation as of `at_s`."""
        if at_s > self._attested_s.get(zone, float("-inf")):
            self._attested_s[zone] = at_s

    def record_beacon(self, beacon: FreshnessBeacon, written_s: float) -> None:
        """Record a peer's evidence, written at `written_s` or later."""
        if beacon.confirmed_age_ms != NO_AGE_MS:
            self.record_confirmation(written_s - beacon.confirmed_age_ms / 1000)
        for item in beacon.attestations:
            if item.age_ms != NO_AGE_MS:
                self.record_attestation(item.zone, written_s - item.age_ms / 1000)

    def verified_at_s(self, zones: Iterable[str]) -> float | None:
        """Return when the held version was last known to be the newest, or None.

        `zones` are all zones that may hold a daemon; empty while unknown.
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
        """Return a beacon with the confirmation and the attestations of `zones`."""
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
        """Discard the attestations of zones other than `zones`."""
        for zone in self._attested_s.keys() - zones:
            del self._attested_s[zone]

    def invalidate(self) -> None:
        """Discard all evidence, after a pause."""
        self._confirmed_s = None
        self._attested_s.clear()
