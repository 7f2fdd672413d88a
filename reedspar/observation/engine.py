"""Wrappers of a target and an engine that record requests, staging and loads."""

from contextlib import AbstractAsyncContextManager

from reedspar.admin import TransferStatus
from reedspar.configuration import ConfigurationDocument
from reedspar.errors import Failure
from reedspar.platform import (
    EngineState,
    LoadOrder,
    ModelEngine,
    Target,
    TargetRequest,
    TargetResponse,
)
from reedspar.telemetry import Metrics
from reedspar.timeline import EventKind, EventRecorder

__all__ = ["ObservedEngine", "ObservedTarget", "TransferTracker"]

STAGING = "staging"
LOADING = "loading"
LOADED = "loaded"
FAILED = "failed"


class ObservedTarget:
    """Record each request that is sent to the target."""

    def __init__(self, inner: Target, recorder: EventRecorder) -> None:
        self._inner = inner
        self._recorder = recorder

    async def read_state(self) -> EngineState | Failure:
        """Return the target's own report."""
        return await self._inner.read_state()

    def send(
        self, request: TargetRequest
    ) -> AbstractAsyncContextManager[TargetResponse | Failure]:
        """Send a request; the failure is `UNAVAILABLE` only if nothing was sent."""
        request_id, _, attempt = request.request_id.rpartition(".")
        is_numbered = bool(request_id) and attempt.isdigit()
        self._recorder.record(
            EventKind.ATTEMPT_RUNNING,
            request_id=request_id if is_numbered else request.request_id,
            attempt=int(attempt) if is_numbered else None,
        )
        return self._inner.send(request)

    async def cancel(self, request_id: str) -> Failure | None:
        """Ask the target to cancel a request."""
        return await self._inner.cancel(request_id)


class TransferTracker:
    """Progress of each version's transfer since the engine's last boot."""

    def __init__(self) -> None:
        self._staged_sizes: dict[str, dict[int, int]] = {}
        self._phases: dict[str, tuple[str, str]] = {}
        self._boot_id = ""

    def handle_boot(self, boot_id: str) -> None:
        """Clear the progress if the engine has restarted: it has lost all chunks."""
        if boot_id != self._boot_id:
            self._boot_id = boot_id
            self._staged_sizes.clear()
            self._phases.clear()

    def record_staged(self, root_digest: str, index: int, size_bytes: int) -> bool:
        """Record a staged chunk; return whether it is the version's first."""
        sizes = self._staged_sizes.setdefault(root_digest, {})
        sizes[index] = size_bytes
        self._phases[root_digest] = (STAGING, "")
        return len(sizes) == 1

    def set_phase(self, root_digest: str, phase: str, detail: str = "") -> None:
        """Set the phase of a version's transfer."""
        self._phases[root_digest] = (phase, detail)

    def remove(self, root_digest: str) -> None:
        """Remove a version whose chunks the engine has dropped."""
        self._staged_sizes.pop(root_digest, None)
        self._phases.pop(root_digest, None)

    def list_transfers(
        self, document: ConfigurationDocument | None
    ) -> tuple[TransferStatus, ...]:
        """Return the progress of the versions in `document`."""
        if document is None:
            return ()
        found = []
        for model, version in document.models.items():
            if version.root_digest not in self._phases:
                continue
            phase, detail = self._phases[version.root_digest]
            sizes = self._staged_sizes.get(version.root_digest, {})
            found.append(
                TransferStatus(
                    model=model,
                    root_digest=version.root_digest,
                    phase=phase,
                    bytes_held=sum(sizes.values()),
                    bytes_total=version.size_bytes,
                    detail=detail,
                )
            )
        return tuple(found)


class ObservedEngine(ObservedTarget):
    """Record staging and loads in addition to requests."""

    def __init__(
        self,
        inner: ModelEngine,
        metrics: Metrics,
        recorder: EventRecorder,
        transfer_tracker: TransferTracker,
    ) -> None:
        super().__init__(inner, recorder)
        self._engine = inner
        self._metrics = metrics
        self._transfer_tracker = transfer_tracker
        self._staged_bytes = 0
        metrics.staged_bytes.set_callback(lambda: self._staged_bytes)

    async def read_state(self) -> EngineState | Failure:
        """Return the engine's own report."""
        state = await self._engine.read_state()
        if not isinstance(state, Failure):
            self._transfer_tracker.handle_boot(state.boot_id)
        return state

    async def stage_chunk(
        self, root_digest: str, index: int, data: bytes
    ) -> Failure | None:
        """Stage a verified chunk of a version."""
        failure = await self._engine.stage_chunk(root_digest, index, data)
        if failure is not None:
            return failure
        self._staged_bytes += len(data)
        if self._transfer_tracker.record_staged(root_digest, index, len(data)):
            self._recorder.record(EventKind.WEIGHTS_STAGING, version=root_digest)
        return None

    async def drop_staged(self, root_digest: str) -> Failure | None:
        """Drop the chunks of a version that will not be loaded."""
        self._transfer_tracker.remove(root_digest)
        return await self._engine.drop_staged(root_digest)

    async def load(self, order: LoadOrder) -> Failure | None:
        """Order a load, and record its outcome."""
        self._transfer_tracker.set_phase(order.root_digest, LOADING)
        self._record(EventKind.WEIGHTS_LOAD_ORDERED, order, "")
        failure = await self._engine.load(order)
        outcome = failure.reason.value if failure else "ok"
        self._metrics.loads.add(1, {"outcome": outcome})
        if failure is None:
            self._transfer_tracker.set_phase(order.root_digest, LOADED)
            self._record(EventKind.WEIGHTS_LOADED, order, "")
        else:
            self._transfer_tracker.set_phase(order.root_digest, FAILED, str(failure))
            self._record(EventKind.WEIGHTS_LOAD_FAILED, order, str(failure))
        return failure

    def _record(self, kind: EventKind, order: LoadOrder, detail: str) -> None:
        words = [f"fencing {order.fencing_number}", detail]
        self._recorder.record(
            kind,
            model=order.model,
            version=order.root_digest,
            detail=", ".join(filter(None, words)),
        )
