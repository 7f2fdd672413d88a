"""Storage of the document in the key-value service; patches apply exactly once."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from datetime import UTC, datetime

import anyio
from pydantic import ValidationError

from reedspar.errors import Failure, Reason, Step
from reedspar.platform import KeyValueEntry, KeyValueStore

from .document import ConfigurationDocument
from .patching import PatchRequest, apply_patch, describe_errors, encode_document

__all__ = [
    "CURRENT_KEY",
    "AcceptedPatch",
    "ConfigurationStore",
    "StoredConfiguration",
    "create_configuration_store",
    "decode_document",
]

CURRENT_KEY = "configuration/current"
ACCEPT_ATTEMPTS_MAX = 8
RETRY_BACKOFF_STEP_S = 0.1

Sleep = Callable[[float], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """A document and the key-value revision at which it was read."""

    document: ConfigurationDocument
    revision: int


@dataclass(frozen=True, slots=True)
class AcceptedPatch:
    """A patch that took effect as version `version`."""

    version: int
    document: ConfigurationDocument
    """The newest document read, which may be a later version."""
    was_repeated: bool = False
    """Whether an earlier submission of the same patch had already taken effect."""


def decode_document(data: bytes) -> ConfigurationDocument | Failure:
    """Parse the document from JSON, or return `CORRUPT`."""
    try:
        return ConfigurationDocument.model_validate_json(data)
    except ValidationError as error:
        detail = describe_errors(error)
        return Failure(Reason.CORRUPT, Step.CONFIGURE, detail=detail)


def decode_entry(entry: KeyValueEntry | None) -> StoredConfiguration | Failure:
    """Parse a stored entry; a missing one is version 0."""
    if entry is None:
        return StoredConfiguration(ConfigurationDocument(), 0)
    document = decode_document(entry.value)
    if isinstance(document, Failure):
        return document
    return StoredConfiguration(document, entry.revision)


class ConfigurationStore:
    """Reads the document and replaces it through compare-and-swap."""

    def __init__(
        self,
        key_value: KeyValueStore,
        *,
        sleep: Sleep = anyio.sleep,
        utc_now: Callable[[], str] | None = None,
    ) -> None:
        self._key_value = key_value
        self._sleep = sleep
        self._utc_now = utc_now or (lambda: datetime.now(UTC).isoformat())

    async def read(self) -> StoredConfiguration | Failure:
        """Return the stored document (version 0 if none); the read may be stale."""
        entry = await self._key_value.get(CURRENT_KEY)
        if isinstance(entry, Failure):
            return entry
        return decode_entry(entry)

    async def accept(
        self, request: PatchRequest, known_version: int = 0
    ) -> AcceptedPatch | Failure:
        """Apply the patch as the next version, exactly once.

        Fails with `CONFLICT` (outdated base; names the current version),
        `INVALID`, `UNAVAILABLE` (the patch did not and will not take effect) or
        `OUTCOME_UNKNOWN` (submit the same patch again to find out).
        `known_version` is the newest version that the caller knows of.
        """
        unknown_outcome: Failure | None = None
        for attempt in range(ACCEPT_ATTEMPTS_MAX):
            if attempt:
                await self._sleep(RETRY_BACKOFF_STEP_S * attempt)
            result = await self._try_once(request, known_version)
            if not isinstance(result, Failure) or result.step is Step.CONFIGURE:
                return result
            if result.reason is Reason.OUTCOME_UNKNOWN:
                unknown_outcome = result
            # This attempt wrote nothing, but an earlier one whose answer was lost
            # may have.  Reporting a rejection could then be false.
            elif result.reason is not Reason.CONFLICT and unknown_outcome is None:
                return result
        return unknown_outcome or await self._resolve_outcome(request, known_version)

    async def _try_once(
        self, request: PatchRequest, known_version: int
    ) -> AcceptedPatch | Failure:
        """Read and write once; a failure of step `KEY_VALUE` may be retried."""
        stored = await self.read()
        if isinstance(stored, Failure):
            return replace(stored, step=Step.KEY_VALUE)
        if outcome := self._find_accepted(stored.document, request):
            return outcome
        if stored.document.version < max(known_version, request.base_version):
            # A stale read, or a base version that never existed.
            return Failure(Reason.CONFLICT, Step.KEY_VALUE)
        patched = apply_patch(stored.document, request, self._utc_now())
        if isinstance(patched, Failure):
            return patched
        # Retrying after a lost answer is safe: of all writes against the same
        # revision, compare-and-swap lets at most one take effect.
        revision = await self._key_value.compare_and_swap(
            CURRENT_KEY, encode_document(patched), stored.revision
        )
        if isinstance(revision, Failure):
            return replace(revision, step=Step.KEY_VALUE)
        return AcceptedPatch(patched.version, patched)

    def _find_accepted(
        self, document: ConfigurationDocument, request: PatchRequest
    ) -> AcceptedPatch | None:
        for record in document.history:
            if record.patch_id == request.patch_id:
                return AcceptedPatch(record.version, document, was_repeated=True)
        return None

    async def _resolve_outcome(
        self, request: PatchRequest, known_version: int
    ) -> AcceptedPatch | Failure:
        stored = await self.read()
        if isinstance(stored, Failure):
            return stored
        if outcome := self._find_accepted(stored.document, request):
            return outcome
        version = max(stored.document.version, known_version)
        if request.base_version > version:
            detail = (
                f"the patch is against version {request.base_version}; "
                f"the current version is {version}"
            )
            return Failure(Reason.CONFLICT, Step.CONFIGURE, detail=detail)
        detail = "the key-value service kept answering with an older version"
        return Failure(Reason.UNAVAILABLE, Step.CONFIGURE, detail=detail)


def create_configuration_store(key_value: KeyValueStore) -> ConfigurationStore:
    """Create a store on the platform's key-value service."""
    return ConfigurationStore(key_value)
