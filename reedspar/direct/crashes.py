"""Detection of target crashes and of the requests that may have caused them."""

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from reedspar.attempts import CrashSuspect
from reedspar.fleet import (
    FleetView,
    KnownTarget,
    TargetChange,
    TargetRecord,
    TargetState,
)
from reedspar.requests.answer_history import Scope
from reedspar.supervision import TaskSpawner
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


class CrashReporter(Protocol):
    """Callback for a crash with the requests of this entry that were in flight."""

    def __call__(
        self,
        crash_id: str,
        scope: Scope,
        suspects: tuple[CrashSuspect, ...],
        age_s: float,
    ) -> None:
        """Process a crash, or more suspects of one that was reported before."""
        ...


class CrashDetector:
    """Matches broken attempts with runs of targets that ended without shutting down."""

    def __init__(
        self,
        timers: TimerService,
        report_crash: CrashReporter,
        probe: Callable[[str, str], None] = lambda target_id, boot_id: None,
    ) -> None:
        self._timers = timers
        self._report_crash = report_crash
        self._probe = probe
        self._broken: deque[_BrokenAttempt] = deque(maxlen=BROKEN_ATTEMPTS_MAX)
        self._known: dict[str, KnownTarget] = {}
        self._confirmed: deque[TargetRecord] = deque(maxlen=CONFIRMED_RUNS_MAX)
        """Runs that a probe has found to be over."""

    def record_broken(
        self, target_id: str, boot_id: str, suspect: CrashSuspect, *, is_timeout: bool
    ) -> None:
        """Record that a run of a target gave no whole answer to what it may have run.

        A timeout alone is no sign that the target has ended.
        """
        self._broken.append(_BrokenAttempt(self._timers.now_s(), boot_id, suspect))
        ended = next((run for run in self._confirmed if run.boot_id == boot_id), None)
        if ended is not None:
            self._report(ended)
        elif not is_timeout:
            self._probe(target_id, boot_id)

    def confirm_crash(self, record: TargetRecord) -> None:
        """Process a probe that found a target's run to be over."""
        self._confirmed.append(record)
        self._report(record)

    def on_target_change(self, change: TargetChange, known: KnownTarget | None) -> None:
        """Process a change of a target; `known` is its new state, None if removed."""
        previous = self._known.pop(change.target_id, None)
        if known is not None:
            self._known[change.target_id] = known
        if previous is None or previous.record.state is TargetState.LEAVING:
            return
        if known is None or known.record.boot_id != previous.record.boot_id:
            self._report(previous.record)

    def _report(self, record: TargetRecord) -> None:
        """Report the crash of a run with the requests that it has broken off so far."""
        boot_id = record.boot_id
        now_s = self._timers.now_s()
        broken = [
            attempt
            for attempt in self._broken
            if attempt.boot_id == boot_id and attempt.at_s >= now_s - SUSPECT_WINDOW_S
        ]
        if not broken:
            return
        suspects = sorted(
            {attempt.suspect for attempt in broken},
            key=lambda s: (s.fingerprint, s.arrival),
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
        scope = (record.pool, record.zone)
        self._report_crash(boot_id, scope, tuple(suspects), age_s)


def create_crash_detector(
    view: FleetView,
    dialer: TargetDialer,
    tasks: TaskSpawner,
    timers: TimerService,
    report_crash: CrashReporter,
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
