"""Registration of this daemon in the store, under a lease that is kept alive."""

import logging
from collections.abc import Callable

import anyio

from reedspar.errors import Failure, Reason, Step
from reedspar.timers import TimerService

from .store import LeasingStore
from .store_latency import StoreLatencyMonitor

__all__ = ["LEASE_TTL_S", "Registration", "create_registration"]

LEASE_TTL_S = 3.0
"""Time to live of the lease: how long the registration may outlive this process.

Callers are given the addresses of registered entry daemons.  The platform allows a dead
one to be listed for 6 s, and a renewal costs a tenth of a read."""
RENEWAL_INTERVAL_S = 1.0
"""A third of the lease, so that a single lost renewal has no effect."""
RETRY_DELAY_S = 0.5
"""Delay after a failed call: a sixth of the lease, as each attempt counts as a call."""

ANSWERED_REASONS = (Reason.NOT_FOUND, Reason.CONFLICT)
"""Failures reported by the store itself, which show that it is available."""

_logger = logging.getLogger(__name__)


class Registration:
    """Writes this daemon's entry, renews its lease, and rewrites it after expiry."""

    def __init__(
        self,
        key: str,
        value: bytes,
        store: LeasingStore,
        timers: TimerService,
        record_store_success: Callable[[], None],
        record_store_failure: Callable[[], None],
        expected_revision: Callable[[], int],
    ) -> None:
        self._key = key
        self._value = value
        self._store = store
        self._record_store_success = record_store_success
        self._record_store_failure = record_store_failure
        self._expected_revision = expected_revision
        self._store_latency = StoreLatencyMonitor(timers)
        self._lease_id = ""
        """Lease under which the entry is written, as far as this daemon knows."""
        self._granted_lease_id = ""
        """Last lease under which the entry may be written, now or later."""
        self._epoch = 0
        """Epoch of the store in which the entry is known to exist."""
        self._is_leaving = False
        self._wakeup = anyio.Event()
        timers.on_pause(lambda gap_s: self._wakeup.set())

    @property
    def is_registered(self) -> bool:
        """Return whether the entry is written, as far as this daemon knows."""
        return bool(self._lease_id)

    @property
    def store_latency(self) -> StoreLatencyMonitor:
        """Return the monitor of the store's latency in renewals."""
        return self._store_latency

    async def run(self) -> None:
        """Keep the entry registered until cancelled or withdrawn."""
        while not self._is_leaving:
            with self._store_latency.measure():
                failure = await (self._renew() if self._lease_id else self._register())
            if failure is not None:
                _logger.warning("registration failed", extra={"failure": str(failure)})
                if failure.reason not in ANSWERED_REASONS:
                    self._record_store_failure()
            else:
                self._record_store_success()
            self._wakeup = anyio.Event()
            with anyio.move_on_after(RETRY_DELAY_S if failure else RENEWAL_INTERVAL_S):
                await self._wakeup.wait()

    async def withdraw(self, timeout_s: float = LEASE_TTL_S) -> None:
        """Remove the entry, as this daemon accepts no new requests from now on.

        The store refuses a write under a lease that has ended, so that an entry that
        is still on its way is not written later.  Return after `timeout_s`, or when
        the lease has expired, at the latest.
        """
        self._is_leaving = True
        self._wakeup.set()
        lease_id, self._granted_lease_id = self._granted_lease_id, ""
        self._lease_id = ""
        if not lease_id:
            return
        failure: Failure | None = Failure(Reason.TIMEOUT, Step.KEY_VALUE)
        with anyio.move_on_after(min(timeout_s, LEASE_TTL_S)):
            failure = await self._store.end_lease(lease_id)
        if failure is not None:
            _logger.warning(
                "failed to withdraw registration; its lease will expire",
                extra={"failure": str(failure), "ttl_s": LEASE_TTL_S},
            )

    async def _register(self) -> Failure | None:
        lease_id = await self._store.grant_lease(LEASE_TTL_S)
        if isinstance(lease_id, Failure):
            return lease_id
        if self._is_leaving:
            return None
        epoch = self._store.epoch
        self._granted_lease_id = lease_id
        failure = await self._write(lease_id)
        if failure is None and not self._is_leaving:
            self._lease_id = lease_id
            self._epoch = epoch
            _logger.info("registered", extra={"key": self._key})
        return failure

    async def _write(self, lease_id: str) -> Failure | None:
        """Write the entry, replacing that of a previous daemon of the same name."""
        failure = await self._compare_and_swap(self._expected_revision(), lease_id)
        if failure is None or failure.reason is not Reason.CONFLICT:
            return failure
        current = await self._store.get(self._key)
        if isinstance(current, Failure):
            return current
        revision = current.revision if current is not None else 0
        return await self._compare_and_swap(revision, lease_id)

    async def _compare_and_swap(
        self, expected_revision: int, lease_id: str
    ) -> Failure | None:
        written = await self._store.compare_and_swap(
            self._key, self._value, expected_revision, lease_id
        )
        return written if isinstance(written, Failure) else None

    async def _renew(self) -> Failure | None:
        failure = await self._store.renew_lease(self._lease_id)
        if failure is not None and failure.reason is Reason.NOT_FOUND:
            self._lease_id = self._granted_lease_id = ""
        if failure is None and self._store.epoch != self._epoch:
            return await self._verify()
        return failure

    async def _verify(self) -> Failure | None:
        """Check that the store still has the entry, once it was restored from a copy.

        The copy may have been made between the grant of the lease and the write.
        """
        epoch = self._store.epoch
        current = await self._store.get(self._key)
        if isinstance(current, Failure):
            return current
        if current is None or current.value != self._value:
            self._lease_id = ""
            detail = f"{self._key}: lost in a restore"
            return Failure(Reason.NOT_FOUND, Step.KEY_VALUE, detail=detail)
        self._epoch = epoch
        return None


def create_registration(
    key: str,
    value: bytes,
    store: LeasingStore,
    timers: TimerService,
    record_store_success: Callable[[], None] = lambda: None,
    record_store_failure: Callable[[], None] = lambda: None,
    expected_revision: Callable[[], int] = lambda: 0,
) -> Registration:
    """Create the registration of a daemon; start `run` next.

    `record_store_success` is called after each call that succeeds,
    `record_store_failure` after each one that fails for a reason other than
    ANSWERED_REASONS.  `expected_revision` returns the last known revision of the
    entry, 0 if none is known; the key is read only if the store reports a conflict.
    """
    return Registration(
        key,
        value,
        store,
        timers,
        record_store_success,
        record_store_failure,
        expected_revision,
    )
