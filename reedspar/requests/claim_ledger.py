"""Group commit of claims: one compare-and-swap carries what has come in meanwhile.

Any entry may write any location: the revision that the compare-and-swap names
is the fence.  A paused or second owner conflicts, reads what was written and
applies its batch again, so ownership saves writes but proves nothing.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from reedspar.errors import Failure, Reason
from reedspar.messages import MessageRegistry
from reedspar.platform import KeyValueStore
from reedspar.timers import TimerService

from .claim_leases import ClaimLeases
from .claim_pace import WritePace, WritePaceOptions
from .claim_places import is_location_expired
from .claim_table import ClaimTable, make_reply
from .messages import (
    ClaimRecord,
    ClaimReply,
    ClaimRequest,
    ClaimSlice,
    ClaimUpdate,
    ClaimVerdict,
    register_messages,
)

__all__ = ["ClaimLedger", "LedgerCounts", "LedgerOptions"]

CACHED_MAX = 64
CACHE_SIZE_BYTES = 8 * 1024 * 1024
COMMITS_MAX = 10
READ_AGAIN_S = 0.02
CROWDED = (
    "more undated idempotency keys than can be written; "
    "a UUID of version 7 shares its write with others"
)
PARALLEL_MAX = 64

UNCONFIRMED = "the key-value service did not confirm the claim"
UNSURE = ClaimVerdict.UNAVAILABLE
SURE_VERDICTS = frozenset({ClaimVerdict.GRANTED, ClaimVerdict.ANSWERED})

OnReply = Callable[[ClaimReply], None]
OnWritten = Callable[[], None]


@dataclass(frozen=True, slots=True)
class LedgerOptions:
    """Times of the ledger."""

    ttl_s: float
    running_s: float
    pace: WritePaceOptions = field(default_factory=WritePaceOptions)
    update_delay_s: float = 0.25
    """How long an outcome waits for a claim to share its write with."""
    cache_s: float = 1.0
    """How long a cached record that is not final is believed."""
    commit_timeout_s: float = 2.0


@dataclass(slots=True)
class LedgerCounts:
    """What the ledger asked of the key-value service, for the metrics."""

    writes: int = 0
    reads: int = 0
    conflicts: int = 0
    unknown: int = 0
    claims: int = 0


@dataclass(slots=True)
class _Batch:
    claims: list[tuple[ClaimRequest, OnReply]] = field(default_factory=list)
    updates: list[tuple[ClaimUpdate, OnWritten]] = field(default_factory=list)
    wake: anyio.Event = field(default_factory=anyio.Event)


@dataclass(slots=True)
class _Cached:
    table: ClaimTable
    revision: int
    read_s: float


@dataclass(slots=True)
class _Commit:
    """How far a batch came."""

    is_done: bool = False
    is_writing: bool = False
    """A write was sent, and its answer is not there."""
    is_unknown: bool = False
    """The answer of a write was lost."""


class ClaimLedger:
    """Claims and outcomes of one entry, and of those that forward to it."""

    def __init__(
        self,
        key_value: KeyValueStore,
        timers: TimerService,
        unix_time: Callable[[], float],
        terms: LedgerOptions,
        count_entries: Callable[[], int] = lambda: 1,
    ) -> None:
        self._key_value = key_value
        self._timers = timers
        self._unix_time = unix_time
        self._terms = terms
        self._pace = WritePace(timers, terms.pace, count_entries)
        self._leases = ClaimLeases(key_value, timers, terms.ttl_s)
        registry = MessageRegistry()
        register_messages(registry)
        self._codec = registry.for_class(ClaimSlice)
        self._record_codec = registry.for_class(ClaimRecord)
        self._batches: dict[str, _Batch] = {}
        self._cache: OrderedDict[str, _Cached] = OrderedDict()
        self._tasks: TaskGroup | None = None
        self._slots = anyio.Semaphore(PARALLEL_MAX)
        self.counts = LedgerCounts()

    async def run(self) -> None:
        """Commit what is submitted until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for location in self._batches:
                tasks.start_soon(self._work, location)
            try:
                await anyio.sleep_forever()
            finally:
                self._tasks = None

    def submit_claim(self, request: ClaimRequest, on_reply: OnReply) -> None:
        """Claim; `on_reply` is called once the record is written or refused."""
        self.counts.claims += 1
        if not self._pace.try_enter(request.location):
            on_reply(make_reply(request.token, ClaimVerdict.NOT_WRITTEN, CROWDED))
            return
        batch = self._batch_of(request.location)
        batch.claims.append((request, on_reply))
        batch.wake.set()

    def submit_update(self, update: ClaimUpdate, on_written: OnWritten) -> None:
        """Record an outcome; `on_written` is called if it was written."""
        self._batch_of(update.location).updates.append((update, on_written))

    def _batch_of(self, location: str) -> _Batch:
        batch = self._batches.get(location)
        if batch is None:
            batch = self._batches[location] = _Batch()
            if self._tasks is not None:
                self._tasks.start_soon(self._work, location)
        return batch

    async def _work(self, location: str) -> None:
        """Commit batches of one location until none is left."""
        while True:
            batch = self._batches[location]
            if not batch.claims:
                with anyio.move_on_after(self._terms.update_delay_s):
                    await batch.wake.wait()
            if not batch.claims and not batch.updates:
                del self._batches[location]
                return
            async with self._slots:
                await self._pace.wait(location)
                batch = self._batches[location]
                self._batches[location] = _Batch()
                await self._commit_bounded(location, batch)

    async def _commit_bounded(self, location: str, batch: _Batch) -> None:
        state = _Commit()
        with anyio.move_on_after(self._terms.commit_timeout_s):
            await self._commit(location, batch, state)
        if state.is_done:
            return
        self._cache.pop(location, None)
        # A write that is provably not written needs no release, which would
        # cost another write just when there are too many.
        is_doubtful = state.is_writing or state.is_unknown
        verdict = UNSURE if is_doubtful else ClaimVerdict.NOT_WRITTEN
        for request, on_reply in batch.claims:
            on_reply(make_reply(request.token, verdict, UNCONFIRMED))

    async def _commit(self, location: str, batch: _Batch, state: _Commit) -> None:
        """Write the batch; the state tells how far it came."""
        cached = self._cache.get(location) or await self._read(location, None)
        for _ in range(COMMITS_MAX):
            if cached is None:
                return
            table = cached.table.copy()
            replies, is_changed = self._apply(table, batch)
            if is_changed:
                written = await self._write(location, table, cached.revision, state)
                if isinstance(written, Failure):
                    return
                if written == 0:
                    cached = await self._read(location, cached.revision)
                    continue
                cached = self._keep(location, table, written)
            elif self._is_doubtful(cached, replies):
                cached = await self._read(location, None)
                continue
            state.is_done = True
            self._reply(location, batch, replies)
            return

    def _apply(self, table: ClaimTable, batch: _Batch) -> tuple[list[ClaimReply], bool]:
        now_s = self._unix_time()
        is_changed = False
        replies = []
        for request, _ in batch.claims:
            reply, is_new = table.claim(request, now_s)
            replies.append(reply)
            is_changed |= is_new
        for update, _ in batch.updates:
            is_changed |= table.update(update, now_s)
        return replies, is_changed

    def _is_doubtful(self, cached: _Cached, replies: list[ClaimReply]) -> bool:
        """Tell whether the cache may hide that another owner wrote an outcome."""
        if self._timers.now_s() - cached.read_s < self._terms.cache_s:
            return False
        return any(reply.verdict not in SURE_VERDICTS for reply in replies)

    def _reply(self, location: str, batch: _Batch, replies: list[ClaimReply]) -> None:
        # A process that was frozen between the check of the key's date and
        # the write may have written after the slice had gone with its lease;
        # an old order would look new.  The date is checked again afterwards.
        now_s = self._unix_time()
        is_expired = is_location_expired(location, now_s, self._terms.ttl_s)
        for (request, on_reply), reply in zip(batch.claims, replies, strict=True):
            if is_expired:
                reply = make_reply(request.token, ClaimVerdict.EXPIRED)
            on_reply(reply)
        for _, on_written in batch.updates:
            on_written()

    async def _write(
        self, location: str, table: ClaimTable, revision: int, state: _Commit
    ) -> int | Failure:
        """Return the new revision, 0 on a conflict, or a failure.

        After a lost answer the same write is sent again: of the two at most
        one takes effect, since both name the same revision.
        """
        lease_id = await self._leases.get(location)
        if isinstance(lease_id, Failure):
            return lease_id
        value = self._codec.encode(table.to_slice(self._record_codec))
        while True:
            self.counts.writes += 1
            state.is_writing = True
            result = await self._key_value.compare_and_swap(
                location, value, revision, lease_id
            )
            state.is_writing = False
            if not isinstance(result, Failure):
                return result
            if result.reason is Reason.CONFLICT:
                self.counts.conflicts += 1
                return 0
            if result.reason is not Reason.OUTCOME_UNKNOWN:
                self._leases.drop()
                return result
            self.counts.unknown += 1
            state.is_unknown = True
            await anyio.sleep(READ_AGAIN_S)

    async def _read(self, location: str, conflicted: int | None) -> _Cached | None:
        """Read a location; after a conflict, until it shows another revision.

        Reads may be served by a replica that lags behind the write that we
        conflicted with.
        """
        while True:
            self.counts.reads += 1
            entry = await self._key_value.get(location)
            if isinstance(entry, Failure):
                return None
            revision = entry.revision if entry is not None else 0
            if revision != conflicted:
                table = ClaimTable(self._terms.ttl_s, self._terms.running_s)
                if entry is not None:
                    table.load(self._codec.decode(entry.value), self._record_codec)
                return self._keep(location, table, revision)
            await anyio.sleep(READ_AGAIN_S)

    def _keep(self, location: str, table: ClaimTable, revision: int) -> _Cached:
        cached = _Cached(table, revision, self._timers.now_s())
        self._cache[location] = cached
        self._cache.move_to_end(location)
        while self._is_cache_full():
            self._cache.popitem(last=False)
        return cached

    def _is_cache_full(self) -> bool:
        if len(self._cache) <= 1:
            return False
        size_bytes = sum(item.table.size_bytes for item in self._cache.values())
        return len(self._cache) > CACHED_MAX or size_bytes > CACHE_SIZE_BYTES
