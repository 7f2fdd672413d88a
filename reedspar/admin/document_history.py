"""The latest configuration documents that this process has adopted.

The key-value service holds only the current document.  Each daemon adopts
nearly every version, so what operators compare can come from its memory; a
version that a daemon never saw or has let go of is asked of another one.
"""

import zlib
from collections import OrderedDict

from reedspar.configuration import ConfigurationDocument

__all__ = ["DocumentHistory"]

VERSIONS_MAX = 64
SIZE_MAX_BYTES = 2 * 1024 * 1024


class DocumentHistory:
    """Keep documents compressed, within a bound on number and size."""

    def __init__(
        self, versions_max: int = VERSIONS_MAX, size_max_bytes: int = SIZE_MAX_BYTES
    ) -> None:
        self._versions_max = versions_max
        self._size_max_bytes = size_max_bytes
        self._documents: OrderedDict[int, bytes] = OrderedDict()
        self._size_bytes = 0

    @property
    def versions(self) -> tuple[int, ...]:
        """Return the numbers of the versions that are kept."""
        return tuple(sorted(self._documents))

    def add(self, document: ConfigurationDocument) -> None:
        """Keep a document; the ones added first go once a bound is passed."""
        if document.version in self._documents:
            return
        data = zlib.compress(document.model_dump_json().encode())
        self._documents[document.version] = data
        self._size_bytes += len(data)
        while len(self._documents) > 1 and self._is_over():
            _, dropped = self._documents.popitem(last=False)
            self._size_bytes -= len(dropped)

    def find(self, version: int) -> ConfigurationDocument | None:
        """Return the document of that number, or None if it is not kept."""
        data = self._documents.get(version)
        if data is None:
            return None
        return ConfigurationDocument.model_validate_json(zlib.decompress(data))

    def _is_over(self) -> bool:
        return (
            len(self._documents) > self._versions_max
            or self._size_bytes > self._size_max_bytes
        )
