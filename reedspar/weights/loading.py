"""Ordering an engine to load a version, and having it confirmed by the engine."""

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
from .offers import OfferBook
from .staging import StagedVersion
from .verification import StagedVerifier

__all__ = ["Loader"]

RETRY_S = 1.0
READ_RETRY_S = 0.2

_logger = logging.getLogger(__name__)


class Loader:
    """Switch a target to versions, one at a time."""

    def __init__(
        self,
        target: TargetSettings,
        timers: TimerService,
        engine: ModelEngine,
        fencing: FencingNumbers,
        gate: SwitchGate,
        book: OfferBook,
        note_state: Callable[[EngineState], None],
        notify: Callable[[], None],
        verifier: StagedVerifier,
    ) -> None:
        self._verifier = verifier
        self._target = target
        self._timers = timers
        self._engine = engine
        self._fencing = fencing
        self._gate = gate
        self._book = book
        self._note_state = note_state
        self._notify = notify
        self._is_settled = False
        self._is_loading = False
        self._busy_model = ""
        self._not_before_s = 0.0

    @property
    def is_loading(self) -> bool:
        """Tell whether the engine was ordered to load, and has not yet confirmed."""
        return self._is_loading

    def is_busy_with(self, model: str) -> bool:
        """Tell whether a model is being switched, or about to be."""
        return self._busy_model == model

    async def settle(self) -> None:
        """Learn what predecessors ordered, and wait out what may be in flight.

        An engine that ignores fencing numbers may still take an order that the
        agent before this one sent as it died.  It would show as a change of
        weights under requests that were let in; after `order_settle_s` no such
        order is left, so only then are the engine's reports relied on.
        """
        await self._read_back()
        has_record = await self._read_record()
        if not self._target.checks_fencing:
            await anyio.sleep(self._target.order_settle_s)
        await self._read_back()
        self._is_settled = True
        self._book.settle()
        self._notify()
        while not has_record:
            # The configured version can be offered without the record; it only
            # lacks which older one the engine may still serve meanwhile.
            await anyio.sleep(RETRY_S)
            has_record = await self._read_record()
        self._notify()

    def may_start(self, staged: StagedVersion) -> bool:
        """Tell whether a version that is whole in the engine may be ordered now."""
        is_free = self._is_settled and not self._busy_model
        is_due = self._timers.now_s() >= self._not_before_s
        is_forward = self._book.is_forward(staged.model, staged.version.sequence)
        is_new = not self._book.is_confirmed(staged.model)
        return is_free and is_due and is_forward and is_new

    def reserve(self, staged: StagedVersion) -> None:
        """Keep other models from switching until `load` has ended."""
        self._busy_model = staged.model

    async def load(self, staged: StagedVersion) -> Failure | None:
        """Drain, order the load, and read the engine's own digest back."""
        model = staged.model
        boot_id = self._book.boot_id
        try:
            number = await self._fencing.next_number(
                model, staged.root_digest, staged.version.sequence
            )
            if isinstance(number, Failure):
                return number
            self._book.begin_switch(model, staged.version.sequence)
            self._notify()
            failure = await self._gate.begin_switch(model)
            if is_failure(failure):
                return failure
            corrupt = await self._verifier.find_corrupt(staged)
            for index in corrupt:
                staged.lose(index)
            if corrupt:
                detail = f"{len(corrupt)} staged chunks are spoilt"
                return Failure(Reason.CORRUPT, Step.CHUNK_CHECK, detail=detail)
            if staged.is_whole and boot_id == self._book.boot_id:
                return await self._order(staged, number)
            return Failure(Reason.CONFLICT, Step.LOAD, detail="the engine restarted")
        finally:
            self._book.end_switch(model)
            self._gate.end_switch(model)
            self._busy_model = ""
            if not self._book.is_confirmed(model):
                self._not_before_s = self._timers.now_s() + RETRY_S
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
            # The order may still take effect.  At an engine that ignores
            # fencing numbers it could overwrite the next one, seen as an
            # older version after a newer; so the next order waits it out.
            await anyio.sleep(self._target.order_settle_s)
        await self._read_back()
        if failure is None and not self._book.is_confirmed(staged.model):
            return Failure(Reason.CORRUPT, Step.CONFIRM, detail=staged.root_digest)
        return failure

    async def _read_record(self) -> bool:
        """Take the versions that predecessors ordered; False if not to be read."""
        record = await self._fencing.read()
        if isinstance(record, Failure):
            _logger.warning("fencing record was not read: %s", record)
            return False
        for ordered in record.ordered:
            self._book.add_known(ordered.model, ordered.root_digest, ordered.sequence)
        return True

    async def _read_back(self) -> None:
        """Take the engine's own word on what it holds, as soon as it answers."""
        while isinstance(state := await self._engine.read_state(), Failure):
            await anyio.sleep(READ_RETRY_S)
        self._note_state(state)
