"""History of the configuration documents that this process has adopted.

The key-value service stores only the current document.  Each daemon adopts nearly every
version, so operators can compare versions from its memory.  A version that a daemon has
never adopted or has evicted is requested from another one.
"""

import zlib
from collections import OrderedDict

from reedspar.configuration import ConfigurationDocument

__all__ = ["DocumentHistory"]

DOCUMENTS_MAX = 64
TOTAL_SIZE_MAX_BYTES = 2 * 1024 * 1024


class DocumentHistory:
    """Compressed documents, limited in number and total size."""

    def __init__(
        self,
        max_documents: int = DOCUMENTS_MAX,
        max_total_bytes: int = TOTAL_SIZE_MAX_BYTES,
    ) -> None:
        self._max_documents = max_documents
        self._max_total_bytes = max_total_bytes
        self._documents: OrderedDict[int, bytes] = OrderedDict()
        self._total_bytes = 0

    @property
    def versions(self) -> tuple[int, ...]:
        """Return the version numbers of the stored documents."""
        return tuple(sorted(self._documents))

    def add(self, document: ConfigurationDocument) -> None:
        """Store a document; evict those added first while a limit is exceeded."""
        if document.version in self._documents:
            return
        data = zlib.compress(document.model_dump_json().encode())
        self._documents[document.version] = data
        self._total_bytes += len(data)
        while len(self._documents) > 1 and self._exceeds_limits():
            _, dropped = self._documents.popitem(last=False)
            self._total_bytes -= len(dropped)

    def find(self, version: int) -> ConfigurationDocument | None:
        """Return the document of that version, or None if it is not stored."""
        data = self._documents.get(version)
        if data is None:
            return None
        return ConfigurationDocument.model_validate_json(zlib.decompress(data))

    def _exceeds_limits(self) -> bool:
        return (
            len(self._documents) > self._max_documents
            or self._total_bytes > self._max_total_bytes
        )
