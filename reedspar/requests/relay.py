"""The last filter: hands a request to a target, returns its answer, or retries.

A non-idempotent request is retried only if the attempt provably did not run.  An
idempotent one is also retried after a broken answer if no byte of it was sent to
the caller, or if the stream can be resumed.
"""

from collections.abc import Collection
from dataclasses import replace
from functools import partial

import anyio

from reedspar.errors import Failure, Reason, Step
from reedspar.timers import TimerService

from .answer_buffers import GiveUpLimit
from .attempt_client import OpenAttempt
from .attempt_opening import AttemptOpening
from .backup_attempts import BROKEN_ATTEMPTS_MAX, BackupAttempts
from .outcome_encoding import make_not_run
from .quarantine import Quarantine
from .relay_interfaces import AttemptOpener, ChosenTarget, RelayOptions, TargetChooser
from .relay_state import RelayState, make_answer
from .request import Answer, Outcome, Proceed, Request, is_success
from .request_retries import RequestRetries, RetryLog
from .retry_budgets import RetryBudgets
from .stream_forwarder import StreamForwarder, is_streamed

__all__ = ["Relay"]

TARGET_POLL_INTERVAL_S = 0.1
RECENTLY_SERVED_S = 5.0
"""Time since a pool last had a target within which a first attempt waits for one."""
FINAL_REASONS = frozenset({Reason.QUARANTINED, Reason.EXPIRED, Reason.INVALID})
"""Another target would refuse for the same reason."""
SERVER_ERROR_STATUS = 500
UNREAD_MIN_S = 0.1
"""Duration of a send that shows that it waits for its reader."""


class Relay:
    """Makes the attempts of a request until one succeeds or no retry is allowed."""

    def __init__(
        self,
        client: AttemptOpener,
        chooser: TargetChooser,
        budgets: RetryBudgets,
        quarantine: Quarantine,
        timers: TimerService,
        options: RelayOptions | None = None,
    ) -> None:
        self._client = client
        self._chooser = chooser
        self._budgets = budgets
        self._quarantine = quarantine
        self._timers = timers
        self._options = options or RelayOptions()
        self._retry_log = RetryLog(timers)
        self._opening = AttemptOpening(client, chooser, timers, self._options)
        self._backups = BackupAttempts(
            self._opening, client, chooser, quarantine, timers
        )
        self._last_served_s: dict[str, float] = {}

    async def apply(self, request: Request, proceed: Proceed) -> Answer:
        """Return the answer; `proceed` is not called, as this is the last filter."""
        return self._add_retry_delay(request, await self._make_attempts(request))

    async def _make_attempts(self, request: Request) -> Answer:
        retries = RequestRetries(request, self._budgets, self._retry_log)
        state = RelayState(StreamForwarder(request, self._client), retries)
        try:
            while True:
                chosen = await self._choose_or_wait(request, state)
                if isinstance(chosen, Failure):
                    return state.result or make_not_run(chosen)
                if not self._is_within_budget(request, state):
                    assert state.result is not None
                    return state.result
                latest = await self._attempt_until_kept(request, chosen, state)
                if not self._may_retry(request, state, latest):
                    assert state.result is not None
                    return state.result
        finally:
            backup = state.take_backup()
            if backup is not None:
                self._chooser.on_ended(request, backup.chosen, None)
                self._client.close(backup.attempt)
            retries.on_ended()

    async def _attempt_until_kept(
        self, request: Request, chosen: ChosenTarget, state: RelayState
    ) -> Answer:
        """Make an attempt, and go on with those that replace it while it is silent."""
        state.tried.add(chosen.name)
        may_have_run_before = request.may_have_run
        attempt = self._opening.open(request, chosen, state)
        if isinstance(attempt, Answer):
            state.record(attempt)
            return attempt
        latest = await self._attempt(request, chosen, attempt, state)
        while (backup := state.take_backup()) is not None:
            state.record(latest)
            latest = await self._attempt(request, backup.chosen, backup.attempt, state)
        if latest.outcome is Outcome.NOT_RUN:
            request.may_have_run = may_have_run_before or state.may_have_run
        state.record(latest)
        return latest

    def _add_retry_delay(self, request: Request, answer: Answer) -> Answer:
        """Tell the caller of a refusal when a target takes requests, if none does now.

        A refusal by a target has no delay, as another target may take the request.
        """
        failure = answer.failure
        if answer.outcome is not Outcome.NOT_RUN or failure is None:
            return answer
        if failure.retry_after_s is not None or failure.reason in FINAL_REASONS:
            return answer
        chosen = self._choose(request, ())
        if not isinstance(chosen, Failure):
            return answer
        delayed = replace(failure, retry_after_s=chosen.retry_after_s)
        return replace(answer, failure=delayed)

    def _is_within_budget(self, request: Request, state: RelayState) -> bool:
        """Return whether the attempt is the first or the retry budget allows it."""
        if not state.handed_over_count:
            if not state.unreached_count:
                self._budgets.for_pool(request.pool).on_first_attempt()
            return True
        return state.retries.try_spend()

    async def _choose_or_wait(
        self, request: Request, state: RelayState
    ) -> ChosenTarget | Failure:
        """Choose a target; if there is none, wait for one if that may help."""
        if state.forwarder.has_started:
            request.weights_digest = state.forwarder.weights_digest
        chosen = self._choose(request, state.tried)
        for _ in range(round(self._options.retry_wait_s / TARGET_POLL_INTERVAL_S)):
            if not isinstance(chosen, Failure):
                self._last_served_s[request.pool] = self._timers.now_s()
                break
            if not self._should_wait(request, chosen, is_retry=bool(state.tried)):
                break
            await anyio.sleep(TARGET_POLL_INTERVAL_S)
            chosen = self._choose(request, state.tried)
        return chosen

    def _should_wait(
        self, request: Request, failure: Failure, *, is_retry: bool
    ) -> bool:
        """Return whether a target is likely to become available soon.

        A first attempt waits only if the pool had a target recently, for example
        while its only target is restarted.
        """
        if is_retry:
            return failure.reason is not Reason.EXPIRED
        last_served_s = self._last_served_s.get(request.pool)
        if failure.reason is not Reason.NO_TARGET or last_served_s is None:
            return False
        return self._timers.now_s() - last_served_s < RECENTLY_SERVED_S

    def _choose(
        self, request: Request, tried: Collection[str]
    ) -> ChosenTarget | Failure:
        self._timers.check_pause()
        if request.deadline_s <= self._timers.now_s():
            return Failure(Reason.EXPIRED, Step.ROUTE, detail="the deadline has passed")
        return self._chooser.choose(request, tried)

    async def _attempt(
        self,
        request: Request,
        chosen: ChosenTarget,
        attempt: OpenAttempt,
        state: RelayState,
    ) -> Answer:
        """Wait for the answer of an open attempt, and close it."""
        if request.is_idempotent:
            attempt.while_silent = partial(
                self._backups.wait, request, chosen, attempt, state
            )
        answer: Answer | None = None
        try:
            with anyio.move_on_after(
                request.deadline_s - self._timers.now_s()
            ) as scope:
                request.hold.on_given_up = scope.cancel
                answer = await self._await_answer(request, chosen, attempt, state)
                return answer
            answer = self._make_timeout(request, attempt)
            return answer
        finally:
            request.hold.on_given_up = None
            self._chooser.on_ended(request, chosen, answer)
            self._client.close(attempt)
            if answer is not None and is_success(answer):
                self._quarantine.history.record_attempt(
                    (request.pool, chosen.zone),
                    request.fingerprint,
                    request.prompt_parts,
                )

    async def _await_answer(
        self,
        request: Request,
        chosen: ChosenTarget,
        attempt: OpenAttempt,
        state: RelayState,
    ) -> Answer:
        assembly = attempt.assembly
        has_answer_started = False
        while assembly.is_open:
            head = assembly.head
            if head is not None and not has_answer_started:
                has_answer_started = True
                self._chooser.on_first_byte(request, chosen)
            if head is not None and is_streamed(
                request,
                head,
                assembly.size_bytes,
                is_held_up=attempt.hold_ups.is_held_up,
            ):
                return await state.forwarder.forward(attempt, head)
            await attempt.wait()
        head = assembly.head
        if state.forwarder.has_started and head is not None:
            return await state.forwarder.forward(attempt, head)
        return make_answer(attempt, has_started=state.forwarder.has_started)

    def _may_retry(self, request: Request, state: RelayState, latest: Answer) -> bool:
        if latest.outcome is Outcome.ANSWERED:
            return self._may_retry_server_error(request, state, latest)
        failure = latest.failure
        if failure is None or failure.reason in FINAL_REASONS:
            return False
        if request.hold.given_up is not None or request.is_abandoned:
            return False
        if (
            state.handed_over_count >= request.attempts_max
            or state.broken_count >= BROKEN_ATTEMPTS_MAX
        ):
            return False
        if state.unreached_count > self._options.unreached_attempts_max:
            return False
        if latest.outcome is Outcome.NOT_RUN:
            return True
        return self._backups.is_repeatable(request, state)

    def _may_retry_server_error(
        self, request: Request, state: RelayState, answer: Answer
    ) -> bool:
        """Return whether the answer is a server error that a retry may avoid."""
        is_failed = answer.status >= SERVER_ERROR_STATUS and not answer.is_sent
        has_attempts_left = state.handed_over_count < request.attempts_max
        return is_failed and has_attempts_left and request.is_idempotent

    def _make_timeout(self, request: Request, attempt: OpenAttempt) -> Answer:
        hold = request.hold
        unread_s = hold.unread_s(self._timers.now_s())
        if hold.given_up is not None or unread_s >= UNREAD_MIN_S:
            # The reader is at fault, and nothing is to be held against the target.
            hold.give_up(GiveUpLimit.DEADLINE)
            detail = f"its caller took nothing for {unread_s:.1f} s"
            detail += f", {hold.held_bytes} bytes were held"
            failure = Failure(Reason.CANCELLED, Step.RELAY, attempt.target, detail)
        else:
            phase = attempt.assembly.phase.value
            detail = f"no whole answer within the deadline; {phase}"
            failure = Failure(Reason.TIMEOUT, Step.RELAY, attempt.target, detail)
        is_started = request.responder.is_started
        return Answer(
            Outcome.UNKNOWN,
            failure=failure,
            is_sent=is_started,
            is_truncated=is_started,
        )
