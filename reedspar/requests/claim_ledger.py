"""Group commit of claims: one compare-and-swap writes all claims that have queued.

A claim reserves an idempotency key, so that an order (a request that is not idempotent)
runs at most once.  A location is a key of the key-value service; its value is a slice,
which holds the records of one or more claims.

Any entry may write any location, since the expected revision of the
compare-and-swap acts as a fencing token.  If a paused or second owner writes
too, it gets a conflict, reads the new value and applies its batch again.
Ownership therefore reduces the number of writes but is not needed for safety.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import anyio

from reedspar.errors import Failure, Reason
from reedspar.messages import MessageRegistry
from reedspar.platform import KeyValueStore
from reedspar.supervision import (
    ContainedTasks,
    TaskSpawner,
    report_unexpected_error,
    run_restarting,
)
from reedspar.timers import TimerService

from .claim_leases import ClaimLeases
from .claim_locations import is_location_expired
from .claim_table import ClaimTable, make_reply
from .claim_write_limiter import WriteRateLimiter, WriteRateOptions
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

CACHED_LOCATIONS_MAX = 64
CACHE_MAX_BYTES = 8 * 1024 * 1024
COMMIT_ATTEMPTS_MAX = 10
RETRY_INTERVAL_S = 0.02
UNDATED_OVERLOAD_DETAIL = (
    "more undated idempotency keys than can be written; "
    "a UUID of version 7 shares its write with others"
)
CONCURRENT_COMMITS_MAX = 64

UNCONFIRMED_DETAIL = "the key-value service did not confirm the claim"
UNCONFIRMED_VERDICT = ClaimVerdict.UNAVAILABLE
FINAL_VERDICTS = frozenset({ClaimVerdict.GRANTED, ClaimVerdict.ANSWERED})

OnReply = Callable[[ClaimReply], None]
OnWritten = Callable[[], None]


@dataclass(frozen=True, slots=True)
class LedgerOptions:
    """Options of the ledger."""

    ttl_s: float
    """Time for which the record of an order is kept."""
    running_timeout_s: float
    """Age up to which a claimed order may still be running."""
    write_rate: WriteRateOptions = field(default_factory=WriteRateOptions)
    update_delay_s: float = 0.25
    """How long an outcome waits for a claim that can share its write."""
    cache_s: float = 1.0
    """How long a cached record that is not final counts as current."""
    commit_timeout_s: float = 2.0


@dataclass(slots=True)
class LedgerCounts:
    """Counts of the ledger's operations on the key-value service, for the metrics."""

    writes: int = 0
    reads: int = 0
    conflicts: int = 0
    unknown: int = 0
    """Writes whose response was lost."""
    claims: int = 0


@dataclass(slots=True)
class _Batch:
    claims: list[tuple[ClaimRequest, OnReply]] = field(default_factory=list)
    updates: list[tuple[ClaimUpdate, OnWritten]] = field(default_factory=list)
    wake: anyio.Event = field(default_factory=anyio.Event)


@dataclass(slots=True)
class _CachedTable:
    table: ClaimTable
    revision: int
    read_s: float


@dataclass(slots=True)
class _CommitState:
    """Progress of the commit of one batch."""

    is_done: bool = False
    is_writing: bool = False
    """A write was sent and its response has not arrived."""
    is_unknown: bool = False
    """The response to a write was lost."""


class ClaimLedger:
    """Writes claims and outcomes of this entry, and those forwarded to it."""

    def __init__(
        self,
        key_value: KeyValueStore,
        timers: TimerService,
        unix_time: Callable[[], float],
        options: LedgerOptions,
        count_entries: Callable[[], int] = lambda: 1,
    ) -> None:
        self._key_value = key_value
        self._timers = timers
        self._unix_time = unix_time
        self._options = options
        self._write_limiter = WriteRateLimiter(
            timers, options.write_rate, count_entries
        )
        self._leases = ClaimLeases(key_value, timers, options.ttl_s)
        registry = MessageRegistry()
        register_messages(registry)
        self._codec = registry.for_class(ClaimSlice)
        self._record_codec = registry.for_class(ClaimRecord)
        self._batches: dict[str, _Batch] = {}
        self._cache: OrderedDict[str, _CachedTable] = OrderedDict()
        self._tasks: TaskSpawner | None = None
        self._commit_slots = anyio.Semaphore(CONCURRENT_COMMITS_MAX)
        self.counts = LedgerCounts()

    async def run(self) -> None:
        """Commit submitted claims and outcomes until cancelled."""
        async with anyio.create_task_group() as group:
            tasks = self._tasks = ContainedTasks(group)
            for location in self._batches:
                tasks.start_soon(self._commit_contained, location)
            try:
                await anyio.sleep_forever()
            finally:
                self._tasks = None

    def submit_claim(self, request: ClaimRequest, on_reply: OnReply) -> None:
        """Submit a claim; `on_reply` is called once it is written or refused."""
        self.counts.claims += 1
        if not self._write_limiter.try_enqueue(request.location):
            on_reply(
                make_reply(
                    request.token, ClaimVerdict.NOT_WRITTEN, UNDATED_OVERLOAD_DETAIL
                )
            )
            return
        batch = self._get_batch(request.location)
        batch.claims.append((request, on_reply))
        batch.wake.set()

    def submit_update(self, update: ClaimUpdate, on_written: OnWritten) -> None:
        """Submit an outcome; `on_written` is called once it is written, if ever."""
        self._get_batch(update.location).updates.append((update, on_written))

    def _get_batch(self, location: str) -> _Batch:
        batch = self._batches.get(location)
        if batch is None:
            batch = self._batches[location] = _Batch()
            if self._tasks is not None:
                self._tasks.start_soon(self._commit_contained, location)
        return batch

    async def _commit_contained(self, location: str) -> None:
        await run_restarting(partial(self._commit_batches, location))

    async def _commit_batches(self, location: str) -> None:
        """Commit the batches of one location until none is left."""
        while True:
            batch = self._batches[location]
            if not batch.claims:
                with anyio.move_on_after(self._options.update_delay_s):
                    await batch.wake.wait()
            if not batch.claims and not batch.updates:
                del self._batches[location]
                return
            async with self._commit_slots:
                await self._write_limiter.wait(location)
                batch = self._batches[location]
                self._batches[location] = _Batch()
                await self._commit_within_timeout(location, batch)

    async def _commit_within_timeout(self, location: str, batch: _Batch) -> None:
        state = _CommitState()
        with anyio.move_on_after(self._options.commit_timeout_s):
            try:
                await self._commit(location, batch, state)
            except Exception as error:
                report_unexpected_error("claim commit", error, location)
        if state.is_done:
            return
        self._cache.pop(location, None)
        # A claim that is provably not written needs no release, which would be
        # another write while the key-value service is already overloaded.
        may_be_written = state.is_writing or state.is_unknown
        verdict = UNCONFIRMED_VERDICT if may_be_written else ClaimVerdict.NOT_WRITTEN
        for request, on_reply in batch.claims:
            on_reply(make_reply(request.token, verdict, UNCONFIRMED_DETAIL))

    async def _commit(self, location: str, batch: _Batch, state: _CommitState) -> None:
        """Write the batch, and keep its progress in `state`."""
        cached = self._cache.get(location) or await self._read(location, None)
        for _ in range(COMMIT_ATTEMPTS_MAX):
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
                cached = self._put_in_cache(location, table, written)
            elif self._may_be_outdated(cached, replies):
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

    def _may_be_outdated(self, cached: _CachedTable, replies: list[ClaimReply]) -> bool:
        """Return whether another owner may have written an outcome since the read."""
        if self._timers.now_s() - cached.read_s < self._options.cache_s:
            return False
        return any(reply.verdict not in FINAL_VERDICTS for reply in replies)

    def _reply(self, location: str, batch: _Batch, replies: list[ClaimReply]) -> None:
        # If the process is paused between the check of the key's date and the
        # write, the slice may have expired with its lease in the meantime, and an
        # old order looks new.  Hence the date is checked again after the write.
        now_s = self._unix_time()
        is_expired = is_location_expired(location, now_s, self._options.ttl_s)
        for (request, on_reply), reply in zip(batch.claims, replies, strict=True):
            if is_expired:
                reply = make_reply(request.token, ClaimVerdict.EXPIRED)
            on_reply(reply)
        for _, on_written in batch.updates:
            on_written()

    async def _write(
        self, location: str, table: ClaimTable, revision: int, state: _CommitState
    ) -> int | Failure:
        """Return the new revision, 0 on a conflict, or a failure.

        If the response is lost, the same write is sent again.  At most one of
        the two takes effect, since both expect the same revision.
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
            await anyio.sleep(RETRY_INTERVAL_S)

    async def _read(
        self, location: str, outdated_revision: int | None
    ) -> _CachedTable | None:
        """Read a location; repeat while the revision is `outdated_revision`.

        After a conflict, a replica that lags behind the conflicting write may
        still return the outdated revision.
        """
        while True:
            self.counts.reads += 1
            entry = await self._key_value.get(location)
            if isinstance(entry, Failure):
                return None
            revision = entry.revision if entry is not None else 0
            if revision != outdated_revision:
                table = ClaimTable(self._options.ttl_s, self._options.running_timeout_s)
                if entry is not None:
                    table.load(self._codec.decode(entry.value), self._record_codec)
                return self._put_in_cache(location, table, revision)
            await anyio.sleep(RETRY_INTERVAL_S)

    def _put_in_cache(
        self, location: str, table: ClaimTable, revision: int
    ) -> _CachedTable:
        cached = _CachedTable(table, revision, self._timers.now_s())
        self._cache[location] = cached
        self._cache.move_to_end(location)
        while self._is_cache_full():
            self._cache.popitem(last=False)
        return cached

    def _is_cache_full(self) -> bool:
        if len(self._cache) <= 1:
            return False
        size_bytes = sum(item.table.size_bytes for item in self._cache.values())
        return len(self._cache) > CACHED_LOCATIONS_MAX or size_bytes > CACHE_MAX_BYTES
