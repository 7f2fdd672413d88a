"""Coordination of the agents of a pool, so that few targets switch versions at once."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from reedspar.errors import Failure
from reedspar.utils import rank_by_rendezvous

from .messages import VersionNotice, VersionPhase
from .succession import SWITCH_DURATION_S

__all__ = ["SwitchDecision", "SwitchGate", "choose_cohort"]

COHORT_SIZE_MIN = 8
"""Minimum size of a cohort; a share of it then corresponds to whole targets."""
PEER_SILENCE_TIMEOUT_S = 5.0
"""Time without a notice after which a waiting or switching peer counts as silent.

Such peers repeat their notice every second."""
PEER_ANSWER_TIMEOUT_S = 3.0
"""Maximum time that a target ready to switch waits for its peers to answer."""


class SwitchGate(Protocol):
    """Admission control during a switch, so that no request sees two versions."""

    async def begin_switch(self, model: str) -> Failure | None:
        """Stop admitting requests for a model, and return once none is in flight."""
        ...

    def end_switch(self, model: str) -> None:
        """Resume admission of requests for a model."""
        ...


def choose_cohort(me: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the other members of this target's cohort.

    A pool is divided into cohorts of 8 to 15 targets in the order of a hash.  Each
    cohort limits its own share of switching targets, which also limits that of the
    pool, and the messages that a target sends per switch do not grow with the pool.
    """
    ranking = rank_by_rendezvous("cohort", {me, *names})
    count = max(1, len(ranking) // COHORT_SIZE_MIN)
    cohort = ranking.index(me) * count // len(ranking)
    return tuple(
        name
        for position, name in enumerate(ranking)
        if position * count // len(ranking) == cohort and name != me
    )


@dataclass(frozen=True, slots=True)
class _PeerPhase:
    phase: VersionPhase
    received_s: float


class SwitchDecision:
    """Decides when this target may switch a model while its cohort keeps serving.

    Targets that are ready to switch do so in the order of their rank.  Dead peers are
    not in the cohort.  A silent peer occupies one of the switches allowed at a time,
    but never the last one, so frozen peers slow the roll-out down without stopping it.
    """

    def __init__(self, me: str, share: float) -> None:
        self._me = me
        self._share = share
        self._cohort: tuple[str, ...] = ()
        self._peer_phases: dict[str, _PeerPhase] = {}
        self._root_digest = ""
        self._waiting_since_s = 0.0
        self._deadline_s = float("inf")

    @property
    def cohort(self) -> tuple[str, ...]:
        """Return the other members of this target's cohort."""
        return self._cohort

    def max_switching(self, now_s: float) -> int:
        """Return how many targets of the cohort may switch at once; at least one.

        If the older version has a deadline, the cohort switches in as many rounds as
        fit before it, plus one that begins at the deadline.
        """
        size = len(self._cohort) + 1
        count = max(1, int(self._share * size))
        if self._deadline_s == float("inf"):
            return count
        rounds = 1 + max(0, math.ceil((self._deadline_s - now_s) / SWITCH_DURATION_S))
        return max(count, math.ceil(size / rounds))

    def set_peers(self, names: Iterable[str]) -> None:
        """Set the live agents of the pool."""
        self._cohort = choose_cohort(self._me, names)
        self._peer_phases = {
            name: phase
            for name, phase in self._peer_phases.items()
            if name in self._cohort
        }

    def record_notice(self, peer: str, notice: VersionNotice, now_s: float) -> None:
        """Record the phase that a peer has announced."""
        if peer in self._cohort:
            self._peer_phases[peer] = _PeerPhase(notice.phase, now_s)

    def set_deadline(self, deadline_s: float) -> None:
        """Set the time from which the older version may not be served."""
        self._deadline_s = deadline_s

    def begin_waiting(self, root_digest: str, now_s: float) -> None:
        """Record that this target is ready to switch to a version."""
        if root_digest != self._root_digest:
            # Phases received earlier do not show which peers are ready now.  Two
            # targets that relied on them, instead of waiting for new answers, would
            # switch at the same time.
            self._peer_phases.clear()
            self._root_digest = root_digest
            self._waiting_since_s = now_s

    def handle_pause(self, now_s: float) -> None:
        """Discard phases from before a pause, and wait for new answers."""
        self._peer_phases.clear()
        self._waiting_since_s = now_s

    def may_switch(self, now_s: float) -> bool:
        """Return whether this target may switch now."""
        if now_s >= self._deadline_s:
            return True
        has_waited = now_s - self._waiting_since_s >= PEER_ANSWER_TIMEOUT_S
        if len(self._peer_phases) < len(self._cohort) and not has_waited:
            return False
        ranked = rank_by_rendezvous(self._root_digest, [self._me, *self._cohort])
        before_me = set(ranked[: ranked.index(self._me)])
        peer_phases = [(peer, self._peer_phases.get(peer)) for peer in self._cohort]
        silent = sum(p is None or self._is_silent(p, now_s) for _, p in peer_phases)
        ahead = sum(
            self._is_ahead(peer_phase, peer in before_me)
            for peer, peer_phase in peer_phases
            if peer_phase is not None and not self._is_silent(peer_phase, now_s)
        )
        return ahead < max(1, self.max_switching(now_s) - silent)

    def _is_ahead(self, peer_phase: _PeerPhase, is_before_me: bool) -> bool:
        if peer_phase.phase is VersionPhase.WAITING:
            return is_before_me
        return peer_phase.phase is VersionPhase.SWITCHING

    def _is_silent(self, peer_phase: _PeerPhase, now_s: float) -> bool:
        is_repeated = peer_phase.phase in (VersionPhase.WAITING, VersionPhase.SWITCHING)
        return is_repeated and now_s - peer_phase.received_s > PEER_SILENCE_TIMEOUT_S
