"""Detection of target crashes and of the requests that may have caused them."""

import logging
from collections import deque
from collections.abc import Callable

from reedspar.fleet import KnownTarget, TargetChange, TargetState
from reedspar.timers import TimerService

__all__ = ["CrashDetector"]

SUSPECT_WINDOW_S = 6.0
"""Age up to which a broken attempt is a suspect when its target crashes.

The platform removes the record of a crashed target after three missed heartbeats of
1.2 s; another 2 s cover the store's delay and a restart."""
BROKEN_ATTEMPTS_MAX = 256

_logger = logging.getLogger(__name__)


class CrashDetector:
    """Matches broken attempts with targets that disappeared without shutting down."""

    def __init__(
        self,
        timers: TimerService,
        report_crash: Callable[[str, tuple[str, ...]], None],
    ) -> None:
        self._timers = timers
        self._report_crash = report_crash
        self._broken: deque[tuple[float, str, str]] = deque(maxlen=BROKEN_ATTEMPTS_MAX)
        self._known: dict[str, KnownTarget] = {}

    def record_broken(self, target_id: str, fingerprint: str) -> None:
        """Record that a target broke off while it may have been running a request."""
        self._broken.append((self._timers.now_s(), target_id, fingerprint))

    def on_target_change(self, change: TargetChange, known: KnownTarget | None) -> None:
        """Process a change of a target; `known` is its new state, None if removed."""
        previous = self._known.pop(change.target_id, None)
        if known is not None:
            self._known[change.target_id] = known
        if previous is None or previous.record.state is TargetState.LEAVING:
            return
        if known is None or known.record.boot_id != previous.record.boot_id:
            self._check_crash(previous)

    def _check_crash(self, previous: KnownTarget) -> None:
        now_s = self._timers.now_s()
        broken = [
            (at_s, fingerprint)
            for at_s, target_id, fingerprint in self._broken
            if at_s >= now_s - SUSPECT_WINDOW_S and target_id == previous.record.id
        ]
        if not broken:
            return
        boot_id = previous.record.boot_id
        fingerprints = {fingerprint for _, fingerprint in broken}
        _logger.info(
            "target crashed",
            extra={
                "target": boot_id,
                "requests": len(fingerprints),
                "fingerprints": sorted(fingerprints),
                "since_first_break_s": round(now_s - min(broken)[0], 3),
            },
        )
        # Each entry reports its own requests to the same crash.
        self._report_crash(boot_id, tuple(sorted(fingerprints)))
