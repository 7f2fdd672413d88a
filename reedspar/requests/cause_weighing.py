"""Weighing of blamed causes against each other.

Requests and prompt parts may be in flight at the same crashes.  The cause that is there
least likely by chance explains these, and the others have to explain what remains.
"""

from collections.abc import Collection, Iterable

from .answer_history import AnswerHistory
from .crash_records import Cause, Crash, presence_by_chance

__all__ = ["find_replaced_causes"]

KEPT_CHANCE_MAX = 0.1
"""Maximum probability that a cause is at the remaining crashes without influence."""
BESIDE_CHANCE_MAX = 0.001
"""The same at all crashes, beside the causes that explain them."""
REPLACED_CRASHES_MIN = 3
"""Number of crashes of a cause that others must explain to replace it."""


def find_replaced_causes(
    causes: Iterable[Cause], crashes: Collection[Crash], history: AnswerHistory
) -> dict[Cause, list[Crash]]:
    """Return the causes that others replace, each with its crashes.

    A request that is never answered is not replaced: few sound ones come so often.
    """
    pending = sorted(causes, key=_sort_key)
    kept: list[Cause] = []
    remaining = list(crashes)
    while pending:
        chances = {cause: _chance_of(cause, remaining, history) for cause in pending}
        # A request comes before the parts that it has, which explain no more.
        best = min(pending, key=chances.__getitem__)
        if chances[best] > KEPT_CHANCE_MAX:
            break
        pending.remove(best)
        kept.append(best)
        remaining = [crash for crash in remaining if not best.explains(crash)]
    remaining_ids = {crash.crash_id for crash in remaining}
    replaced = {}
    for cause in pending:
        found = _list_evidence(cause, crashes, history)
        explained = [crash for crash in found if crash.crash_id not in remaining_ids]
        is_explained = len(explained) >= max(REPLACED_CRASHES_MIN, len(found) / 2)
        if (
            is_explained
            and not _is_never_answered(cause, found, history)
            and _chance_of(cause, crashes, history, kept) > BESIDE_CHANCE_MAX
        ):
            replaced[cause] = found
    return replaced


def _list_evidence(
    cause: Cause,
    crashes: Iterable[Crash],
    history: AnswerHistory,
    kept: Collection[Cause] = (),
) -> list[Crash]:
    """Return the crashes that a cause explains, since it was last answered.

    Requests that `kept` causes match do not count.
    """
    answered_s = min(map(history.last_answer_s, cause.traits))
    return [
        crash
        for crash in crashes
        if crash.at_s > answered_s
        and any(
            cause.matches(item.fingerprint, item.prompt_parts)
            and not any(k.matches(item.fingerprint, item.prompt_parts) for k in kept)
            for item in crash.suspects
        )
    ]


def _chance_of(
    cause: Cause,
    crashes: Collection[Crash],
    history: AnswerHistory,
    kept: Collection[Cause] = (),
) -> float:
    """Return the probability that a cause without influence is at so many crashes."""
    found = _list_evidence(cause, crashes, history, kept)
    if not found:
        return 1.0
    first_s = min(crash.at_s for crash in found)
    pools = {crash.scope[0] for crash in found}
    found_ids = {crash.crash_id for crash in found}
    since_first = [c for c in crashes if c.at_s >= first_s and c.scope[0] in pools]
    presence = [crash.crash_id in found_ids for crash in since_first]
    return min(
        presence_by_chance(trait, since_first, presence, history)
        for trait in cause.traits
    )


def _is_never_answered(
    cause: Cause, found: Iterable[Crash], history: AnswerHistory
) -> bool:
    """Return whether a request may be one that targets never answer."""
    if cause.prompt_parts:
        return False
    return not history.has_answered(cause.fingerprint, {c.scope for c in found})


def _sort_key(cause: Cause) -> tuple[int, str, list[str]]:
    """Return a key that puts a request before the prompt parts that it has."""
    parts = sorted(cause.prompt_parts)
    return (len(parts), cause.fingerprint, parts)
