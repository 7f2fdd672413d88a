"""Archive of verdicts in the key-value service, which outlasts all entries.

If all entries stop at once, what crashes targets would otherwise have to be learned
again from more crashes.
"""

import logging
import random
from dataclasses import dataclass

import anyio
from pydantic import BaseModel, ValidationError

from reedspar.errors import Failure, Reason
from reedspar.platform import KeyValueEntry, KeyValueStore
from reedspar.timers import TimerService

from .crash_records import Cause
from .quarantine import QUARANTINE_S, Quarantine, Verdict

__all__ = ["ARCHIVE_KEY", "VerdictArchive", "create_verdict_archive"]

ARCHIVE_KEY = "reedspar/crash-causes"
CAUSES_MAX = 64
WRITE_DELAY_MAX_S = 1.5
"""Maximum delay of a write; one entry's write is enough if others learn of it."""
RETRY_DELAY_S = 0.5
WRITTEN_POLL_INTERVAL_S = 0.05

_logger = logging.getLogger(__name__)


class _CauseModel(BaseModel, frozen=True):
    fingerprint: str = ""
    prompt_parts: tuple[str, ...] = ()

    def to_cause(self) -> Cause:
        return Cause(self.fingerprint, frozenset(self.prompt_parts))


class _Document(BaseModel):
    causes: tuple[_CauseModel, ...] = ()


@dataclass(frozen=True, slots=True)
class _Stored:
    causes: tuple[Cause, ...]
    revision: int


class VerdictArchive:
    """Reads verdicts at the start, and writes those that follow."""

    def __init__(
        self,
        quarantine: Quarantine,
        store: KeyValueStore,
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self._quarantine = quarantine
        self._store = store
        self._timers = timers
        self._rng = rng
        self._changes: dict[Cause, bool] = {}
        """Causes to add (True) or to remove."""
        self._wakeup = anyio.Event()
        self._stop = anyio.Event()
        quarantine.on_verdict(self._handle_verdict)

    def begin_stop(self) -> None:
        """Write at once from now on: others may stop, too, or know of no verdict."""
        self._stop.set()

    async def wait_written(self) -> None:
        """Wait until all verdicts are known to be in the archive."""
        while self._changes:
            await anyio.sleep(WRITTEN_POLL_INTERVAL_S)

    async def run(self) -> None:
        """Read the archive, then keep it up to date until cancelled."""
        while not await self._load():
            await anyio.sleep(RETRY_DELAY_S)
        while True:
            if not self._changes:
                self._wakeup = anyio.Event()
                await self._wakeup.wait()
            with anyio.move_on_after(self._rng.uniform(0.0, WRITE_DELAY_MAX_S)):
                await self._stop.wait()
            while not await self._write_changes():
                await anyio.sleep(RETRY_DELAY_S)

    def _handle_verdict(self, verdict: Verdict) -> None:
        self._changes[verdict.cause] = verdict.is_blamed
        self._wakeup.set()

    async def _load(self) -> bool:
        """Adopt the archived verdicts; return whether the archive was read."""
        stored = await self._read()
        if stored is None:
            return False
        now_s = self._timers.now_s()
        for cause in stored.causes:
            self._quarantine.adopt_verdict(Verdict(cause, now_s, is_blamed=True))
            self._changes.pop(cause, None)
        return True

    async def _write_changes(self) -> bool:
        """Merge the changes into the archive; return whether they are there."""
        stored = await self._read()
        if stored is None:
            return False
        changes = dict(self._changes)
        kept = [cause for cause in stored.causes if changes.get(cause, True)]
        added = [
            cause
            for cause, is_blamed in changes.items()
            if is_blamed and cause not in kept
        ]
        causes = (*kept, *added)[-CAUSES_MAX:]
        if causes != stored.causes:
            failure = await self._write(causes, stored.revision)
            if failure is not None:
                _log_failure(failure)
                return False
        for cause, is_blamed in changes.items():
            if self._changes.get(cause) is is_blamed:
                del self._changes[cause]
        return True

    async def _read(self) -> _Stored | None:
        """Return the archived causes, None if the key-value service gave no answer."""
        entry = await self._store.get(ARCHIVE_KEY)
        if isinstance(entry, Failure):
            _log_failure(entry)
            return None
        return _parse(entry) if entry is not None else _Stored((), 0)

    async def _write(self, causes: tuple[Cause, ...], revision: int) -> Failure | None:
        # The lease removes the archive once all its quarantines must be over.
        lease_id = await self._store.grant_lease(QUARANTINE_S)
        if isinstance(lease_id, Failure):
            return lease_id
        models = tuple(
            _CauseModel(
                fingerprint=cause.fingerprint,
                prompt_parts=tuple(sorted(cause.prompt_parts)),
            )
            for cause in causes
        )
        value = _Document(causes=models).model_dump_json().encode()
        written = await self._store.compare_and_swap(
            ARCHIVE_KEY, value, revision, lease_id
        )
        return written if isinstance(written, Failure) else None


def _parse(entry: KeyValueEntry) -> _Stored:
    try:
        document = _Document.model_validate_json(entry.value)
    except ValidationError as error:
        _logger.warning("archive of crash causes is invalid: %s", error)
        return _Stored((), entry.revision)
    causes = (model.to_cause() for model in document.causes)
    return _Stored(tuple(cause for cause in causes if cause.traits), entry.revision)


def _log_failure(failure: Failure) -> None:
    if failure.reason is not Reason.CONFLICT:
        _logger.info(
            "archive of crash causes is not available", extra={"failure": str(failure)}
        )


def create_verdict_archive(
    quarantine: Quarantine,
    store: KeyValueStore,
    timers: TimerService,
    rng: random.Random,
) -> VerdictArchive:
    """Create the archive of an entry's verdicts; start `run` next."""
    return VerdictArchive(quarantine, store, timers, rng)
