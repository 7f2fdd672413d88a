"""Probes that tell whether a target has ended, before its registration lapses."""

import logging
from collections.abc import Awaitable, Callable

import anyio

from reedspar.fleet import FleetView, TargetRecord, TargetState
from reedspar.supervision import TaskSpawner

__all__ = ["CrashProber"]

PROBE_DELAYS_S = (0.05, 0.45)
"""Delays of the probes after a broken attempt, each after the one before."""

_logger = logging.getLogger(__name__)


class CrashProber:
    """Connects to a target that broke off an attempt, to see whether it has ended.

    Only a refused connection proves that no process listens.  A timeout may be that of
    the network between this entry and the target.
    """

    def __init__(
        self,
        view: FleetView,
        refuses_connections: Callable[[str], Awaitable[bool]],
        tasks: TaskSpawner,
        on_crash: Callable[[TargetRecord], None],
    ) -> None:
        self._view = view
        self._refuses_connections = refuses_connections
        self._tasks = tasks
        self._on_crash = on_crash
        self._probed: set[str] = set()
        """Runs of targets that are being probed, by boot id."""

    def probe(self, target_id: str, boot_id: str) -> None:
        """Start probing a run of a target, unless that is under way."""
        if boot_id not in self._probed and self._find_run(target_id, boot_id):
            self._probed.add(boot_id)
            self._tasks.start_soon(self._probe, target_id, boot_id)

    async def _probe(self, target_id: str, boot_id: str) -> None:
        try:
            for delay_s in PROBE_DELAYS_S:
                await anyio.sleep(delay_s)
                record = self._find_run(target_id, boot_id)
                if record is None:
                    return
                if await self._refuses_connections(target_id):
                    self._on_crash(record)
                    return
            _logger.info("no proof of a crash", extra={"target": boot_id})
        finally:
            self._probed.discard(boot_id)

    def _find_run(self, target_id: str, boot_id: str) -> TargetRecord | None:
        """Return the record of a run that is registered and does not leave."""
        known = self._view.target(target_id)
        if known is None or known.record.state is TargetState.LEAVING:
            return None
        return known.record if known.record.boot_id == boot_id else None
