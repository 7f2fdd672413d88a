"""Filter that runs an order with an idempotency key at most once.

An order is a request that is not idempotent.
"""

from collections.abc import Callable

import anyio

from reedspar.attempts import Header
from reedspar.errors import Failure, Reason, Step
from reedspar.timers import TimerService

from .claim_client import ClaimClient
from .claim_locations import ClaimLocator, locate_claim, make_expired_failure
from .messages import ClaimReply, ClaimState, ClaimUpdate, ClaimVerdict
from .outcome_encoding import make_not_run, make_unknown
from .request import Answer, Outcome, Proceed, Request

__all__ = ["DeduplicationFilter"]

KEPT_ANSWER_MAX_BYTES = 8 * 1024
"""Maximum body size of an answer that is stored for repeats."""
REPLAYED_HEADER = Header("x-reedspar-replayed", "true")
RUNNING_RETRY_AFTER_S = 1.0
UNAVAILABLE_RETRY_AFTER_S = 2.0
INITIAL_POLL_INTERVAL_S = 0.1
POLL_INTERVAL_GROWTH = 1.5
POLL_INTERVAL_MAX_S = 1.0
INCONCLUSIVE_VERDICTS = frozenset({ClaimVerdict.UNAVAILABLE, ClaimVerdict.NOT_WRITTEN})


class DeduplicationFilter:
    """Claims the key before the order runs, and answers repeats from its record."""

    def __init__(
        self,
        claims: ClaimClient,
        timers: TimerService,
        unix_time: Callable[[], float],
        ttl_s: float,
    ) -> None:
        self._claims = claims
        self._timers = timers
        self._unix_time = unix_time
        self._ttl_s = ttl_s

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Run a request that has no key, or whose key was not claimed before."""
        if not request.idempotency_key:
            return await proceed(request)
        locator = locate_claim(
            request.workspace,
            request.pool,
            request.idempotency_key,
            self._unix_time(),
            self._ttl_s,
        )
        if isinstance(locator, Failure):
            return make_not_run(locator)
        reply = await self._claim(request, locator)
        if reply.verdict is ClaimVerdict.GRANTED:
            return await self._run(request, locator, proceed)
        if reply.verdict is ClaimVerdict.UNAVAILABLE:
            # The claim may have been written although it was not confirmed.  The
            # order was not handed over, so the key is released.
            self._record_end(request, locator, ClaimState.RELEASED)
        return self._answer(reply)

    async def _claim(self, request: Request, locator: ClaimLocator) -> ClaimReply:
        """Claim the key, and wait while an earlier order with it is running.

        Without the wait, a repeat would end as unknown, possibly just before the
        first request is answered.
        """
        reply = await self._claim_once(request, locator)
        wait_s = INITIAL_POLL_INTERVAL_S
        may_be_written = False
        while reply.verdict is ClaimVerdict.RUNNING:
            if self._timers.now_s() + wait_s >= request.deadline_s:
                if may_be_written:
                    self._record_end(request, locator, ClaimState.RELEASED)
                return reply
            await anyio.sleep(wait_s)
            wait_s = min(wait_s * POLL_INTERVAL_GROWTH, POLL_INTERVAL_MAX_S)
            latest = await self._claim_once(request, locator)
            # A failure to read the claim says nothing about the earlier order, so
            # it must not replace the last reply: "not run" could be false.
            if latest.verdict not in INCONCLUSIVE_VERDICTS:
                reply = latest
                may_be_written = False
            may_be_written |= latest.verdict is ClaimVerdict.UNAVAILABLE
        return reply

    async def _claim_once(self, request: Request, locator: ClaimLocator) -> ClaimReply:
        return await self._claims.claim(
            locator, request.request_id, request.fingerprint
        )

    async def _run(
        self, request: Request, locator: ClaimLocator, proceed: Proceed
    ) -> Answer:
        state = ClaimState.UNKNOWN
        answer: Answer | None = None
        try:
            answer = await proceed(request)
            state = _state_of(answer)
        finally:
            self._record_end(request, locator, state, answer)
        return answer

    def _record_end(
        self,
        request: Request,
        locator: ClaimLocator,
        state: ClaimState,
        answer: Answer | None = None,
    ) -> None:
        kept = answer if state is ClaimState.ANSWERED else None
        self._claims.update(
            ClaimUpdate(
                locator.claim_key,
                request.request_id,
                locator.location,
                state,
                kept.status if kept is not None else 0,
                kept.headers if kept is not None else (),
                kept.body if kept is not None else b"",
                kept.weights_digest if kept is not None else "",
            )
        )

    def _answer(self, reply: ClaimReply) -> Answer:
        if reply.verdict is ClaimVerdict.ANSWERED:
            return Answer(
                Outcome.ANSWERED,
                reply.status,
                (*reply.headers, REPLAYED_HEADER),
                reply.body,
                reply.weights_digest,
            )
        if reply.verdict is ClaimVerdict.RUNNING:
            detail = "an earlier one with this key is running"
            failure = _make_failure(Reason.DUPLICATE, detail, RUNNING_RETRY_AFTER_S)
            return make_unknown(failure)
        if reply.verdict is ClaimVerdict.UNKNOWN:
            detail = reply.detail or "an earlier one with this key may have run"
            return make_unknown(_make_failure(Reason.OUTCOME_UNKNOWN, detail))
        if reply.verdict is ClaimVerdict.MISMATCH:
            detail = "the key was used for another request"
            return make_not_run(_make_failure(Reason.CONFLICT, detail))
        if reply.verdict is ClaimVerdict.EXPIRED:
            return make_not_run(make_expired_failure(self._ttl_s))
        detail = f"this sending was not run; {reply.detail}"
        failure = Failure(
            Reason.UNAVAILABLE,
            Step.CLAIM,
            detail=detail,
            retry_after_s=UNAVAILABLE_RETRY_AFTER_S,
        )
        return make_not_run(failure)


def _make_failure(reason: Reason, detail: str, after_s: float | None = None) -> Failure:
    return Failure(reason, Step.DEDUPLICATE, detail=detail, retry_after_s=after_s)


def _state_of(answer: Answer) -> ClaimState:
    if answer.outcome is Outcome.NOT_RUN:
        return ClaimState.RELEASED
    if answer.outcome is Outcome.UNKNOWN:
        return ClaimState.UNKNOWN
    if answer.is_sent or len(answer.body) > KEPT_ANSWER_MAX_BYTES:
        return ClaimState.NOT_KEPT
    return ClaimState.ANSWERED
