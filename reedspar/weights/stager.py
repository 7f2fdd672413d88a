"""Sequential staging of verified chunks at the engine."""

import logging
from collections import deque
from collections.abc import Callable, Iterable, Mapping

import anyio

from reedspar.errors import is_failure
from reedspar.platform import ModelEngine
from reedspar.supervision import report_unexpected_error

from .staged_version import StagedVersion, StagingOrder

__all__ = ["Stager"]

STAGING_RETRY_DELAY_S = 0.2

_logger = logging.getLogger(__name__)


class Stager:
    """Executes staging orders for the current boot of the engine."""

    def __init__(
        self,
        engine: ModelEngine,
        staged: Mapping[str, StagedVersion],
        object_bytes: Callable[[str], bytes | None],
        boot_id: Callable[[], str],
        on_staged: Callable[[StagingOrder], None],
        now_s: Callable[[], float],
    ) -> None:
        self._engine = engine
        self._staged = staged
        self._object_bytes = object_bytes
        self._boot_id = boot_id
        self._on_staged = on_staged
        self._now_s = now_s
        self._orders: deque[StagingOrder] = deque()
        self._wakeup = anyio.Event()

    def add(self, orders: Iterable[StagingOrder]) -> None:
        """Queue orders."""
        self._orders += orders
        self._wakeup.set()

    async def run(self) -> None:
        """Execute orders until cancelled."""
        while True:
            if not self._orders:
                self._wakeup = anyio.Event()
                await self._wakeup.wait()
            order = self._orders.popleft()
            try:
                await self._stage(order)
                self._on_staged(order)
            except Exception as error:
                report_unexpected_error("staging", error, order.digest)
                await self._retry(order)

    async def _stage(self, order: StagingOrder) -> None:
        data = self._object_bytes(order.digest)
        if data is None or not self._is_current(order):
            return
        root_digest = order.root_digest
        sent_s = self._now_s()
        failure = await self._engine.stage_chunk(root_digest, order.index, data)
        if not self._is_current(order):
            return
        if is_failure(failure):
            _logger.warning("chunk was not staged: %s", failure)
            await self._retry(order)
        else:
            self._staged[order.model].mark_staged(order, sent_s)

    async def _retry(self, order: StagingOrder) -> None:
        self._orders.append(order)
        await anyio.sleep(STAGING_RETRY_DELAY_S)

    def _is_current(self, order: StagingOrder) -> bool:
        """Return whether an order is for the current version and boot."""
        staged = self._staged.get(order.model)
        if staged is None or staged.root_digest != order.root_digest:
            return False
        return order.boot_id == self._boot_id() and staged.needs(order.digest)
