"""Activation: when a target may switch to a version, decided from what peers say."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from reedspar.errors import Failure
from reedspar.utils import rank_by_rendezvous

from .messages import VersionNotice, VersionPhase
from .succession import SWITCH_S

__all__ = ["SwitchDecision", "SwitchGate", "choose_cohort"]

COHORT_MIN = 8
"""Least size of a cohort, so that a share of it is a whole number of targets."""
SILENT_AFTER_S = 5.0
"""A peer that waits or switches repeats it each second; after this it is silent."""
ANSWER_WAIT_S = 3.0
"""How long a target that could switch waits for its peers to answer."""


class SwitchGate(Protocol):
    """The agent's side of a switch: no request may see two versions."""

    async def begin_switch(self, model: str) -> Failure | None:
        """Admit no more for a model, and return once none in flight uses it."""
        ...

    def end_switch(self, model: str) -> None:
        """Admit again whatever is offered."""
        ...


def choose_cohort(me: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the peers that take turns with this target, without itself.

    A pool is cut into cohorts of 8 to 15, by the order of a hash: each keeps
    the share within itself, so the pool does, and what a target sends for a
    switch does not grow with the pool.
    """
    ring = rank_by_rendezvous("cohort", {me, *names})
    count = max(1, len(ring) // COHORT_MIN)
    cohort = ring.index(me) * count // len(ring)
    return tuple(
        name
        for place, name in enumerate(ring)
        if place * count // len(ring) == cohort and name != me
    )


@dataclass(frozen=True, slots=True)
class _Word:
    phase: VersionPhase
    heard_s: float


class SwitchDecision:
    """Whether this target may switch a model now, so that its cohort keeps serving.

    Those that could switch take turns by rank.  A peer that is dead is not in
    the view; one that is silent takes up a turn, but never the last one: the
    roll-out slows down while peers are frozen, and does not stop.
    """

    def __init__(self, me: str, share: float) -> None:
        self._me = me
        self._share = share
        self._cohort: tuple[str, ...] = ()
        self._words: dict[str, _Word] = {}
        self._root_digest = ""
        self._since_s = 0.0
        self._deadline_s = float("inf")

    @property
    def cohort(self) -> tuple[str, ...]:
        """Return the peers that take turns with this target."""
        return self._cohort

    def allowed(self, now_s: float) -> int:
        """Return how many of the cohort may switch at once; at least one.

        Where the older version has to go by a time, the cohort takes as many
        turns as fit before it, and one more that begins then.
        """
        size = len(self._cohort) + 1
        count = max(1, int(self._share * size))
        if self._deadline_s == float("inf"):
            return count
        turns = 1 + max(0, math.ceil((self._deadline_s - now_s) / SWITCH_S))
        return max(count, math.ceil(size / turns))

    def set_peers(self, names: Iterable[str]) -> None:
        """Take the live agents of the pool."""
        self._cohort = choose_cohort(self._me, names)
        self._words = {n: w for n, w in self._words.items() if n in self._cohort}

    def note(self, peer: str, notice: VersionNotice, now_s: float) -> None:
        """Take a peer's word."""
        if peer in self._cohort:
            self._words[peer] = _Word(notice.phase, now_s)

    def set_deadline(self, deadline_s: float) -> None:
        """Take the time from which the older version serves nobody any more."""
        self._deadline_s = deadline_s

    def begin_waiting(self, root_digest: str, now_s: float) -> None:
        """Note that this target could switch from now on."""
        if root_digest != self._root_digest:
            # What was heard before says nothing of who could switch now: two
            # that went by it would switch at once.  Each peer answers anew.
            self._words.clear()
            self._root_digest = root_digest
            self._since_s = now_s

    def handle_pause(self, now_s: float) -> None:
        """Forget what peers said before a pause; wait for them to answer again."""
        self._words.clear()
        self._since_s = now_s

    def may_switch(self, now_s: float) -> bool:
        """Tell whether it is this target's turn."""
        if now_s >= self._deadline_s:
            return True
        has_waited = now_s - self._since_s >= ANSWER_WAIT_S
        if len(self._words) < len(self._cohort) and not has_waited:
            return False
        ranked = rank_by_rendezvous(self._root_digest, [self._me, *self._cohort])
        before_me = set(ranked[: ranked.index(self._me)])
        words = [(peer, self._words.get(peer)) for peer in self._cohort]
        silent = sum(w is None or self._is_silent(w, now_s) for _, w in words)
        ahead = sum(
            self._is_ahead(word, peer in before_me)
            for peer, word in words
            if word is not None and not self._is_silent(word, now_s)
        )
        return ahead < max(1, self.allowed(now_s) - silent)

    def _is_ahead(self, word: _Word, is_before_me: bool) -> bool:
        if word.phase is VersionPhase.WAITING:
            return is_before_me
        return word.phase is VersionPhase.SWITCHING

    def _is_silent(self, word: _Word, now_s: float) -> bool:
        is_repeated = word.phase in (VersionPhase.WAITING, VersionPhase.SWITCHING)
        return is_repeated and now_s - word.heard_s > SILENT_AFTER_S
