"""Attempts at other targets while one is silent (see `BackupAttempts`)."""

import logging

import anyio

from reedspar.errors import Failure, Reason, Step
from reedspar.timers import TimerService

from .assembly import Verdict
from .attempt_client import OpenAttempt, wait_for_any
from .attempt_opening import AttemptOpening
from .quarantine import Quarantine, Standing
from .relay_interfaces import AttemptOpener, ChosenTarget, TargetChooser
from .relay_state import Backup, RelayState, make_answer
from .request import Answer, Outcome, Request
from .stream_forwarder import SUCCESS_STATUS, is_streamed

__all__ = ["BROKEN_ATTEMPTS_MAX", "BackupAttempts"]

BROKEN_ATTEMPTS_MAX = 2
"""Broken attempts after which a request is not sent again, as it may be the cause."""
RETRY_INTERVAL_S = 0.5
"""Time after which a target, or a retry, is looked for again."""

_logger = logging.getLogger(__name__)


class BackupAttempts:
    """Sends a request to another target while the first one is silent.

    A silent target may hang, or may go on at any moment.  So its attempt stays open
    until another target has begun to answer, and the first of both to go on is kept
    (hedged requests, Dean and Barroso 2013).
    """

    def __init__(
        self,
        opening: AttemptOpening,
        client: AttemptOpener,
        chooser: TargetChooser,
        quarantine: Quarantine,
        timers: TimerService,
    ) -> None:
        self._opening = opening
        self._client = client
        self._chooser = chooser
        self._quarantine = quarantine
        self._timers = timers

    def is_repeatable(self, request: Request, state: RelayState) -> bool:
        """Return whether a request may be sent again whatever its attempts have done.

        A request that crashes targets would crash another one with each repeat.
        """
        if not request.is_idempotent or state.broken_count >= BROKEN_ATTEMPTS_MAX:
            return False
        if request.hold.given_up is not None or request.is_abandoned:
            return False
        if request.responder.is_started and not request.can_resume:
            return False
        now_s = self._timers.now_s()
        standing, _ = self._quarantine.standing(
            request.fingerprint, now_s, request.prompt_parts
        )
        return standing is Standing.CLEAR

    async def wait(
        self,
        request: Request,
        chosen: ChosenTarget,
        attempt: OpenAttempt,
        state: RelayState,
    ) -> None:
        """Wait until a silent attempt goes on, ends, or is replaced in `state`."""
        self._chooser.on_silent(request, chosen)
        while _is_waiting(attempt):
            backup = self._open(request, state)
            if backup is not None:
                await self._wait_for_either(request, attempt, backup, state)
                continue
            with anyio.move_on_after(RETRY_INTERVAL_S):
                while _is_waiting(attempt):
                    await wait_for_any(attempt)

    def _open(self, request: Request, state: RelayState) -> Backup | None:
        """Open an attempt at another target, if one may be opened now."""
        has_attempts_left = state.handed_over_count + 1 < request.attempts_max
        if not has_attempts_left or not self.is_repeatable(request, state):
            return None
        if state.forwarder.has_started:
            request.weights_digest = state.forwarder.weights_digest
        self._timers.check_pause()
        chosen = self._chooser.choose(request, state.tried)
        if isinstance(chosen, Failure):
            return None
        if not state.retries.try_spend():
            return None
        state.tried.add(chosen.name)
        attempt = self._opening.open(request, chosen, state)
        if isinstance(attempt, Answer):
            state.record(attempt)
            return None
        return Backup(chosen, attempt)

    async def _wait_for_either(
        self, request: Request, attempt: OpenAttempt, backup: Backup, state: RelayState
    ) -> None:
        """Wait until one of two attempts goes on or ends, and close the other."""
        ended: Answer | None = None
        try:
            while _is_waiting(attempt):
                if _has_begun(request, backup.attempt, state):
                    self._replace(request, attempt, backup)
                    break
                ended = _find_end(backup.attempt, state)
                if ended is not None:
                    return
                await wait_for_any(attempt, backup.attempt)
            is_over = not attempt.assembly.is_open
            if is_over and attempt.assembly.verdict is not Verdict.COMPLETE:
                state.backup = backup
        finally:
            if state.backup is None:
                ended = ended or _make_let_go(backup.attempt, state)
                self._chooser.on_ended(request, backup.chosen, ended)
                self._client.close(backup.attempt)
                state.record(ended)

    def _replace(self, request: Request, attempt: OpenAttempt, backup: Backup) -> None:
        """End a silent attempt, as another target goes on."""
        _logger.info(
            "silent attempt was replaced",
            extra={
                "request_id": request.caller_request_id,
                "target": attempt.target,
                "next_target": backup.chosen.name,
            },
        )
        # Only an attempt without a verdict is cancelled at its agent.
        self._client.close(attempt)
        detail = "let go of, as another target goes on"
        failure = Failure(Reason.CANCELLED, Step.RELAY, attempt.target, detail)
        attempt.assembly.on_direct_end(failure)


def _is_waiting(attempt: OpenAttempt) -> bool:
    return attempt.is_silent and attempt.assembly.is_open


def _has_begun(request: Request, attempt: OpenAttempt, state: RelayState) -> bool:
    """Return whether an attempt has sent what can be passed on to the caller."""
    assembly = attempt.assembly
    head = assembly.head
    if head is None or _is_no_continuation(attempt, state):
        return False
    if assembly.verdict is Verdict.COMPLETE:
        return True
    is_stream = is_streamed(request, head, assembly.size_bytes)
    return assembly.is_open and is_stream and bool(assembly.pieces)


def _is_no_continuation(attempt: OpenAttempt, state: RelayState) -> bool:
    head = attempt.assembly.head
    has_failed = head is not None and head.status != SUCCESS_STATUS
    return state.forwarder.has_started and has_failed


def _find_end(attempt: OpenAttempt, state: RelayState) -> Answer | None:
    """Return how an attempt ended that can't go on with the answer, if it has ended."""
    has_started = state.forwarder.has_started
    head = attempt.assembly.head
    if head is not None and _is_no_continuation(attempt, state):
        detail = f"status {head.status} in the midst of a stream"
        reason = Reason.OUTCOME_UNKNOWN
        failure = Failure(reason, Step.TARGET_CALL, attempt.target, detail)
        return Answer(Outcome.UNKNOWN, failure=failure, is_sent=True, is_truncated=True)
    if attempt.assembly.is_open:
        return None
    return make_answer(attempt, has_started=has_started)


def _make_let_go(attempt: OpenAttempt, state: RelayState) -> Answer:
    """Return how an attempt ends that the caller does not need any more."""
    detail = "let go of, as the target before it goes on"
    failure = Failure(Reason.CANCELLED, Step.RELAY, attempt.target, detail)
    is_sent = state.forwarder.has_started
    return Answer(
        Outcome.UNKNOWN, failure=failure, is_sent=is_sent, is_truncated=is_sent
    )
