"""Wrappers of the key-value service and the origin that record calls."""

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
    """Count calls by operation and outcome; record the start and end of outages."""

    def __init__(
        self, inner: KeyValueStore, metrics: Metrics, recorder: EventRecorder
    ) -> None:
        self._inner = inner
        self._metrics = metrics
        self._recorder = recorder
        self._is_down = False

    async def get(self, key: str) -> KeyValueEntry | Failure | None:
        """Return the entry, possibly a stale one; None if there is none."""
        return self._record_result("get", await self._inner.get(key))

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease_id: str = ""
    ) -> int | Failure:
        """Write the value if the entry has the expected revision."""
        result = await self._inner.compare_and_swap(
            key, value, expected_revision, lease_id
        )
        return self._record_result("compare_and_swap", result)

    async def watch(
        self, key: str, after_revision: int, timeout_s: float
    ) -> KeyValueEntry | Failure | None:
        """Return the entry once its revision is newer; None after the timeout."""
        result = await self._inner.watch(key, after_revision, timeout_s)
        return self._record_result("watch", result)

    async def grant_lease(self, ttl_s: float) -> str | Failure:
        """Return the id of a new lease."""
        return self._record_result("grant_lease", await self._inner.grant_lease(ttl_s))

    async def renew_lease(self, lease_id: str) -> Failure | None:
        """Restart the lease's time to live."""
        return self._record_result(
            "renew_lease", await self._inner.renew_lease(lease_id)
        )

    def _record_result(self, operation: str, result: ResultT) -> ResultT:
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
    """Count the bytes read from the origin; record corrupt reads."""

    def __init__(
        self,
        inner: WeightSource,
        metrics: Metrics,
        recorder: EventRecorder,
        record_bytes: Callable[[int], None],
    ) -> None:
        self._inner = inner
        self._metrics = metrics
        self._recorder = recorder
        self._record_bytes = record_bytes

    async def read(self, name: str, offset: int, size_bytes: int) -> bytes | Failure:
        """Return a byte range of the object `name`."""
        result = await self._inner.read(name, offset, size_bytes)
        if not isinstance(result, Failure):
            self._record_bytes(len(result))
        elif result.reason is Reason.CORRUPT:
            self._metrics.corrupt_draws.add(1)
            self._recorder.record(
                EventKind.WEIGHTS_CORRUPT, version=name, detail=str(result)
            )
        return result
