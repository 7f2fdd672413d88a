"""Configuration source that applies operators' patches to the configuration store."""

from collections.abc import Callable

from reedspar.configuration import ConfigurationDocument
from reedspar.configuration.patching import PatchRequest as StorePatch
from reedspar.configuration.store import ConfigurationStore
from reedspar.errors import Failure, Reason

from .document_history import DocumentHistory
from .models import PatchError, PatchRefused, PatchRequest
from .sources import ConfigurationSource

__all__ = ["StoredConfigurationSource", "create_configuration_source"]

ReadDocument = Callable[[], ConfigurationDocument | None]
AdoptDocument = Callable[[ConfigurationDocument], None]


class StoredConfigurationSource:
    """A `ConfigurationSource` backed by the store and the documents adopted here."""

    def __init__(
        self,
        store: ConfigurationStore,
        history: DocumentHistory,
        read_document: ReadDocument,
        adopt: AdoptDocument,
    ) -> None:
        self._store = store
        self._history = history
        self._read_document = read_document
        self._adopt = adopt

    def read_document(self) -> ConfigurationDocument | None:
        """Return the document in use here; None until one was received."""
        return self._read_document()

    async def read_version(
        self, version: int
    ) -> ConfigurationDocument | Failure | None:
        """Return an earlier version; None if it is not available."""
        current = self._read_document()
        if current is not None and current.version == version:
            return current
        return self._history.find(version)

    async def apply_patch(self, request: PatchRequest) -> int | PatchRefused:
        """Apply the patch to the store; adopt an accepted document at once."""
        current = self._read_document()
        known_version = current.version if current else 0
        result = await self._store.accept(_to_store_patch(request), known_version)
        if not isinstance(result, Failure):
            self._adopt(result.document)
            return result.version
        current_version: int | None = None
        if result.reason is Reason.CONFLICT:
            current_version = await self._read_current_version(known_version)
        return _to_refused(result, current_version)

    async def _read_current_version(self, known_version: int) -> int:
        """Return the version number that a new patch has to be based on."""
        stored = await self._store.read()
        if isinstance(stored, Failure):
            return known_version
        return max(known_version, stored.document.version)


def _to_store_patch(request: PatchRequest) -> StorePatch:
    return StorePatch(
        patch_id=request.patch_id,
        base_version=request.base_version,
        author=request.author,
        summary=request.summary,
        changes=request.patch,
    )


def _to_refused(failure: Failure, current_version: int | None) -> PatchRefused:
    errors: tuple[PatchError, ...] = ()
    detail = failure.detail
    if failure.reason is Reason.INVALID:
        errors = tuple(_split_error(line) for line in detail.splitlines())
        detail = f"{len(errors)} rules broken" if len(errors) > 1 else "a rule broken"
    return PatchRefused(
        reason=failure.reason,
        step=failure.step,
        peer=failure.peer,
        detail=detail,
        retry_after_s=failure.retry_after_s,
        current_version=current_version,
        errors=errors,
    )


def _split_error(line: str) -> PatchError:
    path, separator, message = line.partition(": ")
    return PatchError(
        path=path if separator else "", message=message if separator else line
    )


def create_configuration_source(
    store: ConfigurationStore,
    history: DocumentHistory,
    read_document: ReadDocument,
    adopt: AdoptDocument,
) -> ConfigurationSource:
    """Create the source; `adopt` is called with the document of an accepted patch."""
    return StoredConfigurationSource(store, history, read_document, adopt)
