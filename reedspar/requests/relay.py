"""The last filter: hand the request over, pass the whole answer on, or retry.

A non-idempotent request is handed over again only after word that the attempt
did not run; an idempotent one also after a broken answer, as long as no byte
of it went to the caller, or as the stream can go on where it broke.
"""

from dataclasses import dataclass, field

import anyio

from reedspar.attempts import AttemptStart
from reedspar.errors import Failure, Reason, Step
from reedspar.telemetry import check_invariant
from reedspar.timers import TimerService

from .assembly import Verdict
from .attempt_client import OpenAttempt
from .attempting import AttemptOpener, ChosenTarget, RelayOptions, TargetChooser
from .endings import make_not_run
from .passing import StreamForwarder, is_streamed
from .quarantine import Quarantine, Standing
from .request import Answer, Outcome, Proceed, Request
from .retries import RetryBudgets

__all__ = ["Relay"]

BREAKS_MAX = 2
"""Targets that may break under one request; it may be what breaks them."""
UNBROKEN_REASONS = frozenset({Reason.CORRUPT, Reason.TIMEOUT, Reason.CANCELLED})
"""Ends for which the target itself did not break."""
RETRY_POLL_S = 0.1
LATELY_S = 5.0
FINAL_REASONS = frozenset({Reason.QUARANTINED, Reason.EXPIRED, Reason.INVALID})
"""Another target would refuse for the same reason."""
FAILED_STATUS = 500


@dataclass(slots=True)
class _Course:
    """What has become of one request so far."""

    passer: StreamForwarder
    tried: set[str] = field(default_factory=set)
    last: Answer | None = None
    handed_over: int = 0
    unreached: int = 0
    breaks: int = 0


class Relay:
    """Runs the attempts of a request."""

    def __init__(
        self,
        client: AttemptOpener,
        chooser: TargetChooser,
        budgets: RetryBudgets,
        quarantine: Quarantine,
        timers: TimerService,
        terms: RelayOptions | None = None,
    ) -> None:
        self._client = client
        self._chooser = chooser
        self._budgets = budgets
        self._quarantine = quarantine
        self._timers = timers
        self._terms = terms or RelayOptions()
        self._served_s: dict[str, float] = {}

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Return the answer; `proceed` is not called, for this filter is the last."""
        course = _Course(StreamForwarder(request, self._client))
        while True:
            chosen = await self._choose_soon(request, course)
            if isinstance(chosen, Failure):
                return course.last or make_not_run(chosen)
            if not self._may_pay(request, course):
                assert course.last is not None
                return course.last
            course.tried.add(chosen.name)
            latest = await self._attempt(request, chosen, course)
            self._note(course, latest)
            if not self._may_retry(request, course, latest):
                assert course.last is not None
                return course.last

    def _may_pay(self, request: Request, course: _Course) -> bool:
        """Tell whether the next attempt is a first one, or the budget has it."""
        budget = self._budgets.for_pool(request.pool)
        if not course.handed_over:
            if not course.unreached:
                budget.on_first_attempt()
            return True
        return budget.try_spend()

    def _note(self, course: _Course, latest: Answer) -> None:
        if _is_unreached(latest):
            course.unreached += 1
        else:
            course.handed_over += 1
        course.breaks += _is_broken(latest)
        course.last = _join(course.last, latest)

    async def _choose_soon(
        self, request: Request, course: _Course
    ) -> ChosenTarget | Failure:
        """Choose a target; wait a moment for one if that may help."""
        if course.passer.is_begun:
            request.weights_digest = course.passer.weights_digest
        chosen = self._choose(request, course)
        for _ in range(round(self._terms.retry_wait_s / RETRY_POLL_S)):
            if not isinstance(chosen, Failure):
                self._served_s[request.pool] = self._timers.now_s()
                break
            if not self._is_worth_waiting(request, chosen, is_retry=bool(course.tried)):
                break
            await anyio.sleep(RETRY_POLL_S)
            chosen = self._choose(request, course)
        return chosen

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

    def _choose(self, request: Request, course: _Course) -> ChosenTarget | Failure:
        self._timers.check_pause()
        if request.deadline_s <= self._timers.now_s():
            return Failure(Reason.EXPIRED, Step.ROUTE, detail="the deadline has passed")
        return self._chooser.choose(request, course.tried)

    async def _attempt(
        self, request: Request, chosen: ChosenTarget, course: _Course
    ) -> Answer:
        start = self._make_start(request, chosen, course)
        check_invariant(
            request.is_idempotent or not request.may_have_run,
            "handed_over_once",
            f"{request.request_id} again to {chosen.name}",
        )
        attempt = self._client.open(chosen.name, start)
        if isinstance(attempt, Failure):
            self._chooser.on_refused(chosen, attempt)
            return make_not_run(attempt)
        is_repeated = request.may_have_run
        request.may_have_run = True
        request.targets.append(chosen.name)
        answer: Answer | None = None
        self._chooser.on_started(request, chosen)
        try:
            with anyio.move_on_after(request.deadline_s - self._timers.now_s()):
                answer = await self._follow(request, chosen, attempt, course)
                if answer.outcome is Outcome.NOT_RUN:
                    request.may_have_run = is_repeated
                return answer
            answer = self._give_up(request, attempt)
            return answer
        finally:
            self._chooser.on_ended(request, chosen, answer)
            self._client.close(attempt)

    def _make_start(
        self, request: Request, chosen: ChosenTarget, course: _Course
    ) -> AttemptStart:
        remaining_s = request.deadline_s - self._timers.now_s()
        margin_s = min(self._terms.deadline_margin_s, remaining_s / 10)
        return AttemptStart(
            request.request_id,
            course.handed_over + course.unreached,
            request.pool,
            request.method,
            request.path,
            course.passer.headers(),
            request.body,
            max(0.0, remaining_s - margin_s),
            request.is_idempotent,
            request.priority,
            request.workspace,
            request.fingerprint,
            chosen.weights_digest or request.weights_digest,
            chosen.incarnation,
        )

    async def _follow(
        self,
        request: Request,
        chosen: ChosenTarget,
        attempt: OpenAttempt,
        course: _Course,
    ) -> Answer:
        assembly = attempt.assembly
        has_begun = False
        while assembly.is_open:
            head = assembly.head
            if head is not None and not has_begun:
                has_begun = True
                self._chooser.on_first_byte(request, chosen)
            if head is not None and is_streamed(request, head, assembly.size_bytes):
                return await course.passer.forward(attempt, head)
            await attempt.wait()
        head = assembly.head
        if course.passer.is_begun and head is not None:
            return await course.passer.forward(attempt, head)
        return _conclude(attempt, is_begun=course.passer.is_begun)

    def _may_retry(self, request: Request, course: _Course, latest: Answer) -> bool:
        if latest.outcome is Outcome.ANSWERED:
            return self._is_failed_answer(request, course, latest)
        failure = latest.failure
        if failure is None or failure.reason in FINAL_REASONS:
            return False
        if course.handed_over >= request.attempts_max or course.breaks >= BREAKS_MAX:
            return False
        if course.unreached > self._terms.unreached_attempts_max:
            return False
        if latest.outcome is Outcome.NOT_RUN:
            return True
        if latest.is_sent and not request.can_resume:
            return False
        # A request that crashes its target would crash one target per retry.
        now_s = self._timers.now_s()
        standing, _ = self._quarantine.standing(request.fingerprint, now_s)
        return request.is_idempotent and standing is not Standing.BLAMED

    def _is_failed_answer(
        self, request: Request, course: _Course, answer: Answer
    ) -> bool:
        """Tell whether the target itself failed, and another may not."""
        is_failed = answer.status >= FAILED_STATUS and not answer.is_sent
        has_more = course.handed_over < request.attempts_max
        return is_failed and has_more and request.is_idempotent

    def _give_up(self, request: Request, attempt: OpenAttempt) -> Answer:
        detail = f"no whole answer within the deadline; {attempt.assembly.phase.value}"
        failure = Failure(Reason.TIMEOUT, Step.RELAY, attempt.target, detail)
        is_started = request.responder.is_started
        return Answer(
            Outcome.UNKNOWN,
            failure=failure,
            is_sent=is_started,
            is_truncated=is_started,
        )


def _is_unreached(answer: Answer) -> bool:
    """Tell whether an attempt ended before anything reached a target."""
    failure = answer.failure
    is_not_run = answer.outcome is Outcome.NOT_RUN and failure is not None
    return is_not_run and failure is not None and failure.step is Step.LINK


def _is_broken(answer: Answer) -> bool:
    failure = answer.failure
    if answer.outcome is not Outcome.UNKNOWN or failure is None:
        return False
    is_at_target = failure.step is Step.TARGET_CALL
    return is_at_target and failure.reason not in UNBROKEN_REASONS


def _conclude(attempt: OpenAttempt, *, is_begun: bool) -> Answer:
    assembly = attempt.assembly
    head = assembly.head
    if assembly.verdict is Verdict.WHOLE and head is not None:
        return Answer(
            Outcome.ANSWERED,
            head.status,
            head.headers,
            assembly.read_available(),
            head.weights_digest,
        )
    failure = assembly.failure or Failure(Reason.OUTCOME_UNKNOWN, Step.RELAY)
    if assembly.verdict is Verdict.NOT_RUN:
        return make_not_run(failure)
    return Answer(
        Outcome.UNKNOWN, failure=failure, is_sent=is_begun, is_truncated=is_begun
    )


def _join(earlier: Answer | None, latest: Answer) -> Answer:
    """Return what both attempts together prove.

    An idempotent request whose first attempt broke may have run, even if the
    second was refused: to say "not run" then would be untrue.  What a caller
    was sent, and a target's own failure, say more than a later break.
    """
    if earlier is None or latest.outcome is Outcome.ANSWERED:
        return latest
    if earlier.outcome is Outcome.ANSWERED:
        return earlier
    if latest.outcome is Outcome.UNKNOWN:
        return latest
    return earlier if earlier.outcome is Outcome.UNKNOWN else latest
