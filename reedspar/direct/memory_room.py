"""Whether a target's memory has room for one more request.

The load is that of prompts many times the usual length: slots are free, but the memory
is not, and a target that runs short preempts answers that have begun, or ends.  All
prompt tokens count, since nothing says that targets hold parts that prompts share once.
"""

from collections.abc import Sequence

from reedspar.requests.request import Request
from reedspar.routes import EngineParameters, ServiceParameters

from .candidates import Candidate
from .loads import AverageLoad, TargetLoad

__all__ = ["MemoryRoom", "count_held_tokens", "count_request_tokens"]

ROOM_FRACTION = 0.95
"""Fraction of the memory that is given away; answers may be longer than expected."""


class MemoryRoom:
    """Filters candidates by their memory, and counts the refusals for want of it."""

    def __init__(self) -> None:
        self.too_large = 0
        """Requests larger than any target's memory."""
        self.full = 0
        """Choices for which no target had room."""

    def find_excess(self, request: Request, service: ServiceParameters | None) -> str:
        """Return why no target can ever hold a request, or an empty string."""
        engine = _find_engine(service)
        if engine is None:
            return ""
        tokens = count_request_tokens(
            engine, request.prompt_tokens, request.answer_tokens
        )
        if tokens <= engine.memory_tokens:
            return ""
        self.too_large += 1
        return (
            f"the request needs memory for {tokens} tokens, "
            f"a target has it for {engine.memory_tokens}"
        )

    def filter(
        self,
        candidates: Sequence[Candidate],
        request: Request,
        service: ServiceParameters | None,
        average: AverageLoad,
        now_s: float,
    ) -> list[Candidate]:
        """Return the candidates with room for a request beside what they hold.

        An idle target always has room.
        """
        engine = _find_engine(service)
        if engine is None:
            return list(candidates)
        needed = count_request_tokens(
            engine, request.prompt_tokens, request.answer_tokens
        )
        with_room = [
            candidate
            for candidate in candidates
            if _has_room(
                engine,
                count_held_tokens(engine, candidate.load, average, now_s),
                needed,
            )
        ]
        if candidates and not with_room:
            self.full += 1
        return with_room

    def read_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return the counts of refusals for the metrics, by cause."""
        return [
            (self.too_large, {"cause": "too_large"}),
            (self.full, {"cause": "targets_full"}),
        ]


def count_request_tokens(
    engine: EngineParameters, prompt_tokens: int, answer_tokens: int
) -> int:
    """Return the tokens that a request holds at its end."""
    return prompt_tokens + (answer_tokens or engine.typical_answer_tokens)


def count_held_tokens(
    engine: EngineParameters, load: TargetLoad, average: AverageLoad, now_s: float
) -> float:
    """Return the tokens that the requests at a target hold and will still take."""
    own = sum(
        count_request_tokens(engine, attempt.prompt_tokens, attempt.answer_tokens)
        for attempt in load.own_attempts.values()
    )
    typical = engine.typical_prompt_tokens + engine.typical_answer_tokens
    return own + load.others_in_flight(now_s, average) * typical


def _has_room(engine: EngineParameters, held: float, needed: int) -> bool:
    return held < 1 or held + needed <= ROOM_FRACTION * engine.memory_tokens


def _find_engine(service: ServiceParameters | None) -> EngineParameters | None:
    """Return the service's engine if its memory is known."""
    engine = service.engine if service is not None else None
    return engine if engine is not None and engine.memory_tokens > 0 else None
