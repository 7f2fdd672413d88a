"""Requests and prompt parts that targets have answered lately."""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

__all__ = ["AnswerHistory", "AnswerShares", "Scope"]

ATTEMPTS_MAX = 256
"""Number of answered attempts kept of each scope."""
USUAL_ANSWERS_MIN = 5
"""Number of answered attempts from which their shares tell what is usual."""
ENOUGH_ANSWERS = 30
"""Number of answered attempts from which nothing else is needed to tell shares."""
TRAITS_MAX = 4096
"""Number of fingerprints and prompt parts whose last answer is remembered."""
SHARED_TRAITS_MAX = 64
"""Number of fingerprints and prompt parts that others are told, the most common."""
SHARING_ENTRIES_MAX = 64
"""Number of other entries whose answers are remembered."""
SCOPES_MAX = 64
"""Number of scopes whose answers are remembered of another entry."""

Scope = tuple[str, str]
"""Pool and availability zone of a target.

Requests of a route may all go to targets of one scope, so that what is usual in one is
not in another."""


@dataclass(frozen=True, slots=True)
class AnswerShares:
    """How common fingerprints and prompt parts are among an entry's answers."""

    answered: int
    """Number of answered attempts."""
    counts: Mapping[str, int]
    """Number of these with each trait, of the most common ones."""

    def count_of(self, trait: str) -> int:
        """Return the highest number of attempts that a trait may have been in."""
        if trait in self.counts or len(self.counts) < SHARED_TRAITS_MAX:
            return self.counts.get(trait, 0)
        return min(self.counts.values())


@dataclass(slots=True)
class _ScopeHistory:
    answered: deque[tuple[str, ...]] = field(default_factory=deque)
    """Fingerprints and prompt parts of the attempts, the latest last."""
    counts: Counter[str] = field(default_factory=Counter)


class AnswerHistory:
    """Tells how common a request or prompt part is among the answered attempts."""

    def __init__(self) -> None:
        self._scopes: dict[Scope, _ScopeHistory] = {}
        self._answered_s: OrderedDict[str, float] = OrderedDict()
        self._shared: OrderedDict[str, OrderedDict[Scope, AnswerShares]] = OrderedDict()
        """Answers of other entries, the latest heard of last."""

    def record_attempt(
        self, scope: Scope, fingerprint: str, prompt_parts: tuple[str, ...]
    ) -> None:
        """Count an attempt that a target has answered."""
        history = self._scopes.setdefault(scope, _ScopeHistory())
        traits = (fingerprint, *prompt_parts)
        history.answered.append(traits)
        history.counts.update(traits)
        if len(history.answered) > ATTEMPTS_MAX:
            for trait in history.answered.popleft():
                history.counts[trait] -= 1
                if not history.counts[trait]:
                    del history.counts[trait]

    def list_shares(self, pool: str) -> dict[Scope, AnswerShares]:
        """Return how common traits are among this entry's answers of a pool."""
        return {
            scope: AnswerShares(
                len(history.answered),
                dict(history.counts.most_common(SHARED_TRAITS_MAX)),
            )
            for scope, history in self._scopes.items()
            if scope[0] == pool and history.answered
        }

    def adopt_shares(self, entry: str, scope: Scope, shares: AnswerShares) -> None:
        """Replace what is known of another entry's answers."""
        scopes = self._shared.setdefault(entry, OrderedDict())
        scopes[scope] = shares
        scopes.move_to_end(scope)
        self._shared.move_to_end(entry)
        while len(scopes) > SCOPES_MAX:
            scopes.popitem(last=False)
        while len(self._shared) > SHARING_ENTRIES_MAX:
            self._shared.popitem(last=False)

    def record_last_answer(self, traits: Iterable[str], at_s: float) -> None:
        """Record an answer to a request with these fingerprints and prompt parts."""
        for trait in traits:
            self._answered_s[trait] = max(at_s, self.last_answer_s(trait))
            self._answered_s.move_to_end(trait)
        while len(self._answered_s) > TRAITS_MAX:
            self._answered_s.popitem(last=False)

    def last_answer_s(self, trait: str) -> float:
        """Return the time of the last answer with a fingerprint or prompt part."""
        return self._answered_s.get(trait, float("-inf"))

    def share_of(
        self, trait: str, scope: Scope, others_with: int = 0, others: int = 0
    ) -> float:
        """Return the share of answered attempts with a fingerprint or prompt part.

        Where this entry knows few answers, those of other entries count as well; where
        all know few, so do `others_with` of `others` requests that were not answered.
        The share is estimated high if few of all are.
        """
        history = self._scopes.get(scope) or _ScopeHistory()
        if self.knows_shares(scope):
            others_with, others = 0, 0
        shared = self._list_needed(scope)
        answered = len(history.answered) + sum(item.answered for item in shared)
        with_trait = history.counts[trait] + sum(s.count_of(trait) for s in shared)
        return (with_trait + others_with + 1) / (answered + others + 2)

    def has_answered(self, trait: str, scopes: Iterable[Scope]) -> bool:
        """Return whether an answered attempt had a fingerprint or prompt part."""
        if trait in self._answered_s:
            return True
        return any(
            scope in self._scopes and self._scopes[scope].counts[trait]
            for scope in scopes
        ) or any(
            trait in scope_shares[scope].counts
            for scope_shares in self._shared.values()
            for scope in scopes
            if scope in scope_shares
        )

    def knows_shares(self, scope: Scope) -> bool:
        """Return whether the answered attempts alone tell shares."""
        return self._count_answers(scope) >= ENOUGH_ANSWERS

    def knows_usual(self, scope: Scope) -> bool:
        """Return whether enough attempts are known to tell what is usual."""
        return self._count_answers(scope) >= USUAL_ANSWERS_MIN

    def _count_answers(self, scope: Scope) -> int:
        shared = sum(item.answered for item in self._list_needed(scope))
        return self._count_own(scope) + shared

    def _count_own(self, scope: Scope) -> int:
        history = self._scopes.get(scope)
        return 0 if history is None else len(history.answered)

    def _list_needed(self, scope: Scope) -> list[AnswerShares]:
        """Return other entries' answers, none if this entry knows enough itself."""
        if self._count_own(scope) >= ENOUGH_ANSWERS:
            return []
        found = (scopes.get(scope) for scopes in self._shared.values())
        return [shares for shares in found if shares is not None]
