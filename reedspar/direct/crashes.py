"""Detection of target crashes and of the requests that may have caused them."""

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from anyio.abc import TaskGroup

from reedspar.attempts import CrashSuspect
from reedspar.fleet import (
    FleetView,
    KnownTarget,
    TargetChange,
    TargetRecord,
    TargetState,
)
from reedspar.timers import TimerService

from .client import TargetDialer
from .crash_probes import CrashProber

__all__ = ["CrashDetector", "create_crash_detector"]

SUSPECT_WINDOW_S = 6.0
"""Age up to which a broken attempt is a suspect when its target crashes.

The platform removes the record of a crashed target after three missed heartbeats of
1.2 s; another 2 s cover the store's delay and a restart."""
BROKEN_ATTEMPTS_MAX = 256
CONFIRMED_RUNS_MAX = 64

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _BrokenAttempt:
    at_s: float
    boot_id: str
    suspect: CrashSuspect


class CrashDetector:
    """Matches broken attempts with runs of targets that ended without shutting down."""

    def __init__(
        self,
        timers: TimerService,
        report_crash: Callable[[str, tuple[str, ...], float], None],
        probe: Callable[[str, str], None] = lambda target_id, boot_id: None,
    ) -> None:
        self._timers = timers
        self._report_crash = report_crash
        self._probe = probe
        self._broken: deque[_BrokenAttempt] = deque(maxlen=BROKEN_ATTEMPTS_MAX)
        self._known: dict[str, KnownTarget] = {}
        self._confirmed: deque[str] = deque(maxlen=CONFIRMED_RUNS_MAX)
        """Runs that a probe has found to be over, by boot id."""

    def record_broken(
        self, target_id: str, boot_id: str, suspect: CrashSuspect, *, is_timeout: bool
    ) -> None:
        """Record that a run of a target gave no whole answer to what it may have run.

        A timeout alone is no sign that the target has ended.
        """
        self._broken.append(_BrokenAttempt(self._timers.now_s(), boot_id, suspect))
        if boot_id in self._confirmed:
            self._report(boot_id)
        elif not is_timeout:
            self._probe(target_id, boot_id)

    def confirm_crash(self, record: TargetRecord) -> None:
        """Process a probe that found a target's run to be over."""
        self._confirmed.append(record.boot_id)
        self._report(record.boot_id)

    def on_target_change(self, change: TargetChange, known: KnownTarget | None) -> None:
        """Process a change of a target; `known` is its new state, None if removed."""
        previous = self._known.pop(change.target_id, None)
        if known is not None:
            self._known[change.target_id] = known
        if previous is None or previous.record.state is TargetState.LEAVING:
            return
        if known is None or known.record.boot_id != previous.record.boot_id:
            self._report(previous.record.boot_id)

    def _report(self, boot_id: str) -> None:
        """Report the crash of a run with the requests that it has broken off so far."""
        now_s = self._timers.now_s()
        broken = [
            attempt
            for attempt in self._broken
            if attempt.boot_id == boot_id and attempt.at_s >= now_s - SUSPECT_WINDOW_S
        ]
        if not broken:
            return
        suspects = sorted(
            {attempt.suspect for attempt in broken}, key=lambda s: s.fingerprint
        )
        fingerprints = [suspect.fingerprint for suspect in suspects]
        age_s = now_s - broken[0].at_s
        _logger.info(
            "target crashed",
            extra={
                "target": boot_id,
                "requests": len(fingerprints),
                "fingerprints": fingerprints,
                "prompt_parts": [suspect.prompt_parts for suspect in suspects],
                "since_first_break_s": round(age_s, 3),
            },
        )
        # Each entry reports its own requests to the same crash.
        self._report_crash(boot_id, tuple(fingerprints), age_s)


def create_crash_detector(
    view: FleetView,
    dialer: TargetDialer,
    tasks: TaskGroup,
    timers: TimerService,
    report_crash: Callable[[str, tuple[str, ...], float], None],
) -> CrashDetector:
    """Create a detector that probes targets in `tasks` and follows `view`."""

    def confirm_crash(record: TargetRecord) -> None:
        detector.confirm_crash(record)

    prober = CrashProber(view, dialer.refuses_connections, tasks, confirm_crash)
    detector = CrashDetector(timers, report_crash, prober.probe)

    def follow(change: object) -> None:
        if isinstance(change, TargetChange):
            detector.on_target_change(change, view.target(change.target_id))

    view.on_change(follow)
    return detector
