"""Opening of a request's attempts at chosen targets."""

from reedspar.attempts import AttemptStart
from reedspar.errors import Failure
from reedspar.telemetry import check_invariant
from reedspar.timers import TimerService

from .attempt_client import OpenAttempt
from .outcome_encoding import make_not_run
from .relay_interfaces import AttemptOpener, ChosenTarget, RelayOptions, TargetChooser
from .relay_state import RelayState
from .request import Answer, Request

__all__ = ["AttemptOpening"]


class AttemptOpening:
    """Opens attempts, and notes them on their requests."""

    def __init__(
        self,
        client: AttemptOpener,
        chooser: TargetChooser,
        timers: TimerService,
        options: RelayOptions,
    ) -> None:
        self._client = client
        self._chooser = chooser
        self._timers = timers
        self._options = options

    def open(
        self, request: Request, chosen: ChosenTarget, state: RelayState
    ) -> OpenAttempt | Answer:
        """Open an attempt; an answer means that nothing was handed over."""
        check_invariant(
            request.is_idempotent or not request.may_have_run,
            "handed_over_once",
            f"{request.request_id} again to {chosen.name}",
        )
        start = self._make_start(request, chosen, state)
        state.opened_count += 1
        attempt = self._client.open(chosen.name, start)
        if isinstance(attempt, Failure):
            self._chooser.on_refused(chosen, attempt)
            state.retries.on_refused()
            return make_not_run(attempt)
        state.retries.on_opened(chosen.name, attempt.hand_over)
        attempt.hold = request.hold
        attempt.is_abandoned = lambda: request.is_abandoned
        request.hold.deadline_s = request.deadline_s
        request.may_have_run = True
        request.targets.append(chosen.name)
        request.passed_on_s.append(self._timers.now_s())
        self._chooser.on_started(request, chosen)
        return attempt

    def _make_start(
        self, request: Request, chosen: ChosenTarget, state: RelayState
    ) -> AttemptStart:
        remaining_s = request.deadline_s - self._timers.now_s()
        margin_s = min(self._options.deadline_margin_s, remaining_s / 10)
        return AttemptStart(
            request.request_id,
            state.opened_count,
            request.pool,
            request.method,
            request.path,
            state.forwarder.headers(),
            request.body,
            max(0.0, remaining_s - margin_s),
            request.is_idempotent,
            request.priority,
            request.workspace,
            request.fingerprint,
            chosen.weights_digest or request.weights_digest,
            chosen.incarnation,
            request.prompt_parts,
            request.is_cancellable,
        )
