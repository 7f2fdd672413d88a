"""Fencing numbers, which increase with each load order to a target.

The last number is stored in the key-value service together with the versions ordered
under it, so that neither decreases when an agent is replaced.
"""

import json
from dataclasses import dataclass
from typing import Annotated, Protocol

import anyio
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from reedspar.errors import Failure, Reason, Step
from reedspar.platform import KeyValueEntry, KeyValueStore

__all__ = [
    "FencingNumbers",
    "FencingRecord",
    "KeyValueFencing",
    "LocalFencing",
    "OrderedVersion",
    "create_fencing_numbers",
]

KEY_PREFIX = "fences/"
VERSIONS_PER_MODEL_MAX = 2
"""Versions stored per model: the last one ordered, and the one before it, which may
still be served."""
WRITE_ATTEMPTS_MAX = 6
WRITE_BACKOFF_S = 0.05


@dataclass(frozen=True, slots=True)
class OrderedVersion:
    """A version of a model that a target was ordered to load."""

    model: str
    root_digest: str
    sequence: int


@dataclass(frozen=True, slots=True)
class FencingRecord:
    """The persistent state of a target: the last number and the versions ordered."""

    number: int = 0
    ordered: tuple[OrderedVersion, ...] = ()

    def highest(self, model: str) -> int:
        """Return the highest sequence ordered for a model, or 0 if there is none."""
        sequences = (v.sequence for v in self.ordered if v.model == model)
        return max(sequences, default=0)

    def add(self, version: OrderedVersion) -> "FencingRecord":
        """Return a record with an added order and without the oldest one."""
        same = [v for v in self.ordered if v.model == version.model and v != version]
        same.sort(key=lambda v: v.sequence)
        others = tuple(v for v in self.ordered if v.model != version.model)
        kept = (*same, version)[-VERSIONS_PER_MODEL_MAX:]
        return FencingRecord(self.number + 1, (*others, *kept))


class FencingNumbers(Protocol):
    """Issues fencing numbers for one target."""

    async def read(self) -> FencingRecord | Failure:
        """Return the stored record."""
        ...

    async def next_number(
        self, model: str, root_digest: str, sequence: int
    ) -> int | Failure:
        """Return the next number, or `FENCED` if a newer version was ordered."""
        ...


class _Version(BaseModel):
    model_config = ConfigDict(extra="ignore")

    model: str
    root_digest: str
    sequence: int


class _Value(BaseModel):
    model_config = ConfigDict(extra="ignore")

    number: Annotated[int, Field(ge=0)]
    ordered: tuple[_Version, ...] = ()


class KeyValueFencing:
    """Issues fencing numbers by compare-and-swap on one key per target."""

    def __init__(
        self, target: str, key_value: KeyValueStore, backoff_s: float = WRITE_BACKOFF_S
    ) -> None:
        self._backoff_s = backoff_s
        self._key = KEY_PREFIX + target
        self._key_value = key_value
        self._last = OrderedVersion("", "", 0)
        self._last_number = 0

    async def read(self) -> FencingRecord | Failure:
        """Return the stored record; an empty one if there is none."""
        entry = await self._key_value.get(self._key)
        if isinstance(entry, Failure):
            return entry
        return _decode(entry)

    async def next_number(
        self, model: str, root_digest: str, sequence: int
    ) -> int | Failure:
        """Return the next number, or `FENCED` if a newer version was ordered.

        A write with an unknown outcome is not checked: the next attempt reads the key
        again and uses a higher number, and skipping a number is harmless.  While the
        key-value service is unavailable, the number of this agent's last order is
        reused for the same version, so that a restarted engine can be loaded again.
        """
        version = OrderedVersion(model, root_digest, sequence)
        failure = Failure(Reason.CONFLICT, Step.KEY_VALUE, detail=self._key)
        for attempt in range(WRITE_ATTEMPTS_MAX):
            result = await self._try_next(version)
            if not isinstance(result, Failure):
                self._last = version
                self._last_number = result
                return result
            failure = result
            if failure.reason is Reason.FENCED:
                return failure
            if failure.reason is Reason.UNAVAILABLE and version == self._last:
                return self._last_number
            await anyio.sleep(self._backoff_s * (attempt + 1))
        return failure

    async def _try_next(self, version: OrderedVersion) -> int | Failure:
        entry = await self._key_value.get(self._key)
        if isinstance(entry, Failure):
            return entry
        record = _decode(entry)
        if isinstance(record, Failure):
            return record
        if record.highest(version.model) > version.sequence:
            detail = f"{version.model}: {record.highest(version.model)} was ordered"
            return Failure(Reason.FENCED, Step.LOAD, detail=detail)
        record = record.add(version)
        revision = entry.revision if entry else 0
        written = await self._key_value.compare_and_swap(
            self._key, _encode(record), revision
        )
        return written if isinstance(written, Failure) else record.number


class LocalFencing:
    """Issues fencing numbers for an engine that accepts orders only from its machine.

    Such an engine counts its orders and refuses those with another count.  A late order
    of an earlier agent process is therefore refused without the key-value service.
    """

    def __init__(self) -> None:
        self._number = 0

    async def read(self) -> FencingRecord | Failure:
        """Return an empty record; the engine reports the versions that it holds."""
        return FencingRecord()

    async def next_number(
        self, model: str, root_digest: str, sequence: int
    ) -> int | Failure:
        """Return the next number of this process."""
        self._number += 1
        return self._number


def _decode(entry: KeyValueEntry | None) -> FencingRecord | Failure:
    if entry is None:
        return FencingRecord()
    try:
        value = _Value.model_validate_json(entry.value)
    except ValidationError as error:
        detail = f"{entry.key}: {error.errors()[0]['msg']}"
        return Failure(Reason.INVALID, Step.KEY_VALUE, detail=detail)
    versions = (
        OrderedVersion(v.model, v.root_digest, v.sequence) for v in value.ordered
    )
    return FencingRecord(value.number, tuple(versions))


def _encode(record: FencingRecord) -> bytes:
    ordered = [
        {"model": v.model, "root_digest": v.root_digest, "sequence": v.sequence}
        for v in record.ordered
    ]
    return json.dumps({"number": record.number, "ordered": ordered}).encode()


def create_fencing_numbers(target: str, key_value: KeyValueStore) -> FencingNumbers:
    """Create the fencing numbers of a target."""
    return KeyValueFencing(target, key_value)
