"""The last filter: hand the request over, pass the whole answer on, or retry.

A non-idempotent request is handed over again only after its agent's word that
the attempt did not run; an idempotent one also after a broken answer, as long
as no byte of it went to the caller.
"""

import anyio

from reedspar.attempts import AttemptHead, AttemptStart, Header
from reedspar.errors import Failure, Reason, Step
from reedspar.telemetry import check_invariant
from reedspar.timers import TimerService

from .assembly import Verdict
from .attempt_client import AttemptClient, OpenAttempt
from .endings import make_not_run, make_unknown
from .quarantine import Quarantine, Standing
from .request import Answer, Outcome, Proceed, Request
from .retries import RetryBudget
from .routing import Router
from .target_directory import TargetView
from .views import ConfigurationView

__all__ = ["Relay"]

STREAM_TYPES = ("text/event-stream", "application/x-ndjson")
WHOLE_ANSWER_BYTES = 8 * 1024 * 1024
"""A larger answer is passed on while it arrives."""
STREAM_ROOM_BYTES = 1024 * 1024
ATTEMPTS_MAX = 4
BREAKS_MAX = 2
"""Targets that may break under one request; it may be what breaks them."""
UNBROKEN_REASONS = frozenset({Reason.CORRUPT, Reason.TIMEOUT, Reason.CANCELLED})
"""Ends for which the target itself did not break."""
RETRY_WAIT_S = 1.5
"""How long a request waits for a target while links and reports recover."""
RETRY_POLL_S = 0.1
LATELY_S = 5.0
VERDICT_MARGIN_S = 0.25
"""What the agent's word at its deadline gets to reach us before ours."""
RESTED_REASONS = frozenset(
    {Reason.DRAINING, Reason.ZONE_OUT, Reason.STALE, Reason.COLD}
)
FINAL_REASONS = frozenset({Reason.QUARANTINED, Reason.EXPIRED, Reason.INVALID})
"""Another target would refuse for the same reason."""
REST_S = 0.25
"""How long a target is left alone that refused for its own state."""


class Relay:
    """Runs the attempts of a request."""

    def __init__(
        self,
        client: AttemptClient,
        router: Router,
        budget: RetryBudget,
        configuration: ConfigurationView,
        quarantine: Quarantine,
        timers: TimerService,
    ) -> None:
        self._client = client
        self._router = router
        self._budget = budget
        self._configuration = configuration
        self._quarantine = quarantine
        self._timers = timers
        self._served_s: dict[str, float] = {}

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Return the answer; `proceed` is not called, for this filter is the last."""
        tried: set[str] = set()
        last: Answer | None = None
        breaks = 0
        for number in range(ATTEMPTS_MAX):
            view = await self._choose_soon(request, tried)
            if isinstance(view, Failure):
                return last or make_not_run(view)
            if last is None:
                self._budget.on_first_attempt()
            elif not self._budget.try_spend():
                return last
            tried.add(view.name)
            latest = await self._attempt(request, view, number)
            breaks += _is_broken(latest)
            last = _join(last, latest)
            if breaks >= BREAKS_MAX or not self._may_retry(request, last):
                return last
        return last or make_not_run(Failure(Reason.NO_TARGET, Step.ROUTE))

    async def _choose_soon(
        self, request: Request, tried: set[str]
    ) -> TargetView | Failure:
        """Choose a target; wait a moment for one if that may help."""
        view = self._choose(request, tried)
        for _ in range(round(RETRY_WAIT_S / RETRY_POLL_S)):
            if not isinstance(view, Failure):
                self._served_s[request.pool] = self._timers.now_s()
                break
            if not self._is_worth_waiting(request, view, is_retry=bool(tried)):
                break
            await anyio.sleep(RETRY_POLL_S)
            view = self._choose(request, tried)
        return view

    def _is_worth_waiting(
        self, request: Request, failure: Failure, *, is_retry: bool
    ) -> bool:
        """Tell whether a target may come back in a moment.

        A first attempt waits only where targets were there until just now,
        for instance while the one target of a pool is restarted.
        """
        if is_retry:
            return failure.reason is not Reason.EXPIRED
        served_s = self._served_s.get(request.pool)
        if failure.reason is not Reason.NO_TARGET or served_s is None:
            return False
        return self._timers.now_s() - served_s < LATELY_S

    def _choose(self, request: Request, tried: set[str]) -> TargetView | Failure:
        document = self._configuration.document
        self._timers.check_pause()
        # Without a fresh confirmation a zone may have been taken out without
        # our knowing; it would go on getting new work from this entry.
        if document is None or not self._configuration.is_fresh():
            detail = "no recent confirmation of the configuration"
            return Failure(Reason.STALE, Step.ROUTE, detail=detail, retry_after_s=1.0)
        if request.deadline_s <= self._timers.now_s():
            return Failure(Reason.EXPIRED, Step.ROUTE, detail="the deadline has passed")
        return self._router.choose(request, document, tried)

    async def _attempt(self, request: Request, view: TargetView, number: int) -> Answer:
        start = self._make_start(request, view, number)
        check_invariant(
            request.is_idempotent or not request.may_have_run,
            "handed_over_once",
            f"{request.request_id} again to {view.name}",
        )
        attempt = self._client.open(view.name, start)
        if isinstance(attempt, Failure):
            view.refused_until_s = self._timers.now_s() + REST_S
            return make_not_run(attempt)
        is_repeated = request.may_have_run
        request.may_have_run = True
        view.own_in_flight += 1
        try:
            with anyio.move_on_after(request.deadline_s - self._timers.now_s()):
                answer = await self._follow(request, attempt)
                self._note_refusal(view, answer)
                if answer.outcome is Outcome.NOT_RUN:
                    request.may_have_run = is_repeated
                return answer
            return self._give_up(request, attempt)
        finally:
            view.own_in_flight -= 1
            self._client.close(attempt)

    def _make_start(
        self, request: Request, view: TargetView, number: int
    ) -> AttemptStart:
        remaining_s = request.deadline_s - self._timers.now_s()
        margin_s = min(VERDICT_MARGIN_S, remaining_s / 10)
        return AttemptStart(
            request.request_id,
            number,
            request.pool,
            request.method,
            request.path,
            request.headers,
            request.body,
            max(0.0, remaining_s - margin_s),
            request.is_idempotent,
            request.priority,
            request.workspace,
            request.fingerprint,
            request.weights_digest,
            view.incarnation,
        )

    async def _follow(self, request: Request, attempt: OpenAttempt) -> Answer:
        assembly = attempt.assembly
        while assembly.is_open:
            head = assembly.head
            if head is not None and _is_streamed(request, head, assembly.size_bytes):
                return await self._stream(request, attempt, head)
            await attempt.wait()
        return _conclude(attempt)

    async def _stream(
        self, request: Request, attempt: OpenAttempt, head: AttemptHead
    ) -> Answer:
        """Pass the answer on as it arrives; the end only once it proved whole."""
        assembly = attempt.assembly
        responder = request.responder
        attempt.room_bytes = STREAM_ROOM_BYTES
        attempt.is_streamed = True
        await responder.start(head.status, head.headers, head.weights_digest)
        while assembly.is_open:
            if assembly.pieces:
                await responder.send(self._client.take(attempt))
            else:
                await attempt.wait()
        if assembly.verdict is not Verdict.WHOLE:
            return Answer(
                Outcome.UNKNOWN, failure=assembly.failure, is_sent=True, is_cut=True
            )
        await responder.send(self._client.take(attempt), is_last=True)
        return Answer(Outcome.ANSWERED, head.status, is_sent=True)

    def _may_retry(self, request: Request, answer: Answer) -> bool:
        failure = answer.failure
        if answer.is_sent or failure is None or failure.reason in FINAL_REASONS:
            return False
        if answer.outcome is Outcome.NOT_RUN:
            return True
        # A request that crashes its target would crash one target per retry.
        now_s = self._timers.now_s()
        standing, _ = self._quarantine.standing(request.fingerprint, now_s)
        return request.is_idempotent and standing is not Standing.BLAMED

    def _note_refusal(self, view: TargetView, answer: Answer) -> None:
        failure = answer.failure
        if answer.outcome is not Outcome.NOT_RUN or failure is None:
            return
        if failure.reason in RESTED_REASONS:
            after_s = min(failure.retry_after_s or REST_S, 1.0)
            view.refused_until_s = self._timers.now_s() + after_s

    def _give_up(self, request: Request, attempt: OpenAttempt) -> Answer:
        detail = f"no whole answer within the deadline; {attempt.assembly.phase.value}"
        failure = Failure(Reason.TIMEOUT, Step.RELAY, attempt.target, detail)
        is_started = request.responder.is_started
        return Answer(
            Outcome.UNKNOWN, failure=failure, is_sent=is_started, is_cut=is_started
        )


def _is_broken(answer: Answer) -> bool:
    failure = answer.failure
    if answer.outcome is not Outcome.UNKNOWN or failure is None:
        return False
    is_at_target = failure.step is Step.TARGET_CALL
    return is_at_target and failure.reason not in UNBROKEN_REASONS


def _is_streamed(request: Request, head: AttemptHead, size_bytes: int) -> bool:
    if size_bytes > WHOLE_ANSWER_BYTES:
        return True
    if request.idempotency_key:
        return False
    return _find_header(head.headers, "content-type").startswith(STREAM_TYPES)


def _find_header(headers: tuple[Header, ...], name: str) -> str:
    values = (item.value for item in headers if item.name.lower() == name)
    return next(values, "")


def _conclude(attempt: OpenAttempt) -> Answer:
    assembly = attempt.assembly
    head = assembly.head
    if assembly.verdict is Verdict.WHOLE and head is not None:
        return Answer(
            Outcome.ANSWERED,
            head.status,
            head.headers,
            assembly.take(),
            head.weights_digest,
        )
    failure = assembly.failure or Failure(Reason.OUTCOME_UNKNOWN, Step.RELAY)
    if assembly.verdict is Verdict.NOT_RUN:
        return make_not_run(failure)
    return make_unknown(failure)


def _join(earlier: Answer | None, latest: Answer) -> Answer:
    """Return what both attempts together prove.

    An idempotent request whose first attempt broke may have run, even if the
    second was refused: to say "not run" then would be untrue.
    """
    if earlier is None or latest.outcome is not Outcome.NOT_RUN:
        return latest
    return earlier if earlier.outcome is Outcome.UNKNOWN else latest
