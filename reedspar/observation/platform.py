"""The key-value service and the origin, with each call counted."""

from collections.abc import Callable
from typing import TypeVar

from reedspar.errors import Failure, Reason
from reedspar.platform import KeyValueEntry, KeyValueStore, WeightSource
from reedspar.telemetry import Metrics
from reedspar.timeline import EventKind, EventRecorder

__all__ = ["ObservedKeyValueStore", "ObservedWeightSource"]

OK = "ok"
OUTAGE_REASONS = frozenset({Reason.UNAVAILABLE, Reason.OUTCOME_UNKNOWN, Reason.TIMEOUT})

ResultT = TypeVar("ResultT")


class ObservedKeyValueStore:
    """Count calls by operation and outcome; record where outages begin and end."""

    def __init__(
        self, inner: KeyValueStore, metrics: Metrics, recorder: EventRecorder
    ) -> None:
        self._inner = inner
        self._metrics = metrics
        self._recorder = recorder
        self._is_down = False

    async def get(self, key: str) -> KeyValueEntry | Failure | None:
        """Return the entry, or None if there is none; it may be an older one."""
        return self._note("get", await self._inner.get(key))

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease_id: str = ""
    ) -> int | Failure:
        """Write if the revision is the expected one."""
        result = await self._inner.compare_and_swap(
            key, value, expected_revision, lease_id
        )
        return self._note("compare_and_swap", result)

    async def watch(
        self, key: str, after_revision: int, timeout_s: float
    ) -> KeyValueEntry | Failure | None:
        """Return the entry once it is newer, or None when the time is over."""
        result = await self._inner.watch(key, after_revision, timeout_s)
        return self._note("watch", result)

    async def grant_lease(self, ttl_s: float) -> str | Failure:
        """Return the id of a new lease."""
        return self._note("grant_lease", await self._inner.grant_lease(ttl_s))

    async def renew_lease(self, lease_id: str) -> Failure | None:
        """Start the lease's time to live again."""
        return self._note("renew_lease", await self._inner.renew_lease(lease_id))

    def _note(self, operation: str, result: ResultT) -> ResultT:
        failure = result if isinstance(result, Failure) else None
        outcome = failure.reason.value if failure else OK
        self._metrics.key_value_calls.add(
            1, {"operation": operation, "outcome": outcome}
        )
        is_down = failure is not None and failure.reason in OUTAGE_REASONS
        if is_down != self._is_down:
            self._is_down = is_down
            kind = EventKind.KEY_VALUE_DOWN if is_down else EventKind.KEY_VALUE_UP
            self._recorder.record(kind, detail=str(failure) if failure else "")
        return result


class ObservedWeightSource:
    """Count what is read of the origin; record reads that came damaged."""

    def __init__(
        self,
        inner: WeightSource,
        metrics: Metrics,
        recorder: EventRecorder,
        note_bytes: Callable[[int], None],
    ) -> None:
        self._inner = inner
        self._metrics = metrics
        self._recorder = recorder
        self._note_bytes = note_bytes

    async def read(self, name: str, offset: int, size_bytes: int) -> bytes | Failure:
        """Return a range of the object `name`."""
        result = await self._inner.read(name, offset, size_bytes)
        if not isinstance(result, Failure):
            self._note_bytes(len(result))
        elif result.reason is Reason.CORRUPT:
            self._metrics.corrupt_draws.add(1)
            self._recorder.record(
                EventKind.WEIGHTS_CORRUPT, version=name, detail=str(result)
            )
        return result
