"""Load orders to an engine, confirmed by the digest that the engine reports."""

import logging
import uuid
from collections.abc import Callable

import anyio

from reedspar.errors import Failure, InvariantError, Reason, Step, is_failure
from reedspar.platform import EngineState, LoadOrder, ModelEngine
from reedspar.settings import TargetSettings
from reedspar.timers import TimerService

from .activation import SwitchGate
from .fencing import FencingNumbers
from .offers import OfferTracker
from .staged_version import StagedVersion
from .verification import StagedVerifier

__all__ = ["Loader"]

LOAD_RETRY_DELAY_S = 1.0
STATE_READ_RETRY_DELAY_S = 0.2

_logger = logging.getLogger(__name__)


class Loader:
    """Switches a target to other versions, one model at a time."""

    def __init__(
        self,
        target: TargetSettings,
        timers: TimerService,
        engine: ModelEngine,
        fencing: FencingNumbers,
        gate: SwitchGate,
        offers: OfferTracker,
        record_state: Callable[[EngineState], None],
        notify: Callable[[], None],
        verifier: StagedVerifier,
    ) -> None:
        self._verifier = verifier
        self._target = target
        self._timers = timers
        self._engine = engine
        self._fencing = fencing
        self._gate = gate
        self._offers = offers
        self._record_state = record_state
        self._notify = notify
        self._is_recovered = False
        self._is_loading = False
        self._busy_model = ""
        self._retry_at_s = 0.0

    @property
    def is_loading(self) -> bool:
        """Return whether a load order is in progress."""
        return self._is_loading

    def is_busy_with(self, model: str) -> bool:
        """Return whether a model is being switched or reserved for a switch."""
        return self._busy_model == model

    async def recover(self) -> None:
        """Read the state left by earlier agents, and wait for their orders to expire.

        An engine that ignores fencing numbers may still execute an order that an agent
        sent before it died.  The weights would then change during admitted requests.
        No such order remains after `order_settle_s`, so the engine's reports are
        trusted only from then on.
        """
        await self._read_engine_state()
        has_record = await self._read_record()
        if not self._target.checks_fencing:
            await anyio.sleep(self._target.order_settle_s)
        await self._read_engine_state()
        self._is_recovered = True
        self._offers.trust_reports()
        self._notify()
        while not has_record:
            # The configured version can be offered without the record, which is needed
            # only to offer an older version that the engine may still serve.
            await anyio.sleep(LOAD_RETRY_DELAY_S)
            has_record = await self._read_record()
        self._notify()

    def may_start(self, staged: StagedVersion) -> bool:
        """Return whether a completely staged version may be loaded now."""
        is_free = self._is_recovered and not self._busy_model
        is_due = self._timers.now_s() >= self._retry_at_s
        is_not_older = self._offers.is_not_older(staged.model, staged.version.sequence)
        is_new = not self._offers.is_confirmed(staged.model)
        return is_free and is_due and is_not_older and is_new

    def reserve(self, staged: StagedVersion) -> None:
        """Prevent switches of other models until `load` has ended."""
        self._busy_model = staged.model

    async def load(self, staged: StagedVersion) -> Failure | None:
        """Drain requests, order the load, and verify the engine's reported digest."""
        model = staged.model
        boot_id = self._offers.boot_id
        try:
            number = await self._fencing.next_number(
                model, staged.root_digest, staged.version.sequence
            )
            if isinstance(number, Failure):
                return number
            self._offers.begin_switch(model, staged.version.sequence)
            self._notify()
            failure = await self._gate.begin_switch(model)
            if is_failure(failure):
                return failure
            corrupt = await self._verifier.find_corrupt(staged)
            for index in corrupt:
                staged.mark_lost(index)
            if corrupt:
                detail = f"{len(corrupt)} staged chunks are spoilt"
                return Failure(Reason.CORRUPT, Step.CHUNK_CHECK, detail=detail)
            if staged.is_fully_staged and boot_id == self._offers.boot_id:
                return await self._order(staged, number)
            return Failure(Reason.CONFLICT, Step.LOAD, detail="the engine restarted")
        finally:
            self._offers.end_switch(model)
            self._gate.end_switch(model)
            self._busy_model = ""
            if not self._offers.is_confirmed(model):
                self._retry_at_s = self._timers.now_s() + LOAD_RETRY_DELAY_S
            self._notify()

    async def _order(self, staged: StagedVersion, number: int) -> Failure | None:
        manifest = staged.manifest
        if manifest is None:
            raise InvariantError(f"{staged.model}: ordered without a manifest")
        order = LoadOrder(
            model=staged.model,
            root_digest=staged.root_digest,
            chunk_digests=manifest.chunk_digests,
            fencing_number=number,
            order_id=uuid.uuid4().hex,
        )
        extra = {"model": staged.model, "version": staged.version.sequence}
        _logger.info("load ordered", extra=extra)
        self._is_loading = True
        try:
            failure = await self._engine.load(order)
        finally:
            self._is_loading = False
        _logger.info("load ended", extra=extra | {"failure": str(failure or "")})
        if failure is not None and failure.reason is Reason.OUTCOME_UNKNOWN:
            # The order may still take effect.  In an engine that ignores fencing
            # numbers, it could replace the version of the next order by an older one,
            # so the next order waits until this one has expired.
            await anyio.sleep(self._target.order_settle_s)
        await self._read_engine_state()
        if failure is None and not self._offers.is_confirmed(staged.model):
            return Failure(Reason.CORRUPT, Step.CONFIRM, detail=staged.root_digest)
        return failure

    async def _read_record(self) -> bool:
        """Read the versions ordered by earlier agents; return False on failure."""
        record = await self._fencing.read()
        if isinstance(record, Failure):
            _logger.warning("fencing record was not read: %s", record)
            return False
        for ordered in record.ordered:
            self._offers.add_version(
                ordered.model, ordered.root_digest, ordered.sequence
            )
        return True

    async def _read_engine_state(self) -> None:
        """Read the engine's state, and retry until it answers."""
        while isinstance(state := await self._engine.read_state(), Failure):
            await anyio.sleep(STATE_READ_RETRY_DELAY_S)
        self._record_state(state)
