"""Assembly and verification of objects that arrive as ordered pieces."""

from reedspar.errors import Failure, Reason, Step
from reedspar.utils import digest_bytes

from .manifest import CHUNK_MAX_BYTES
from .messages import PIECE_MAX_BYTES, ChunkPiece

__all__ = ["OBJECT_MAX_BYTES", "Assembly", "split_into_pieces"]

OBJECT_MAX_BYTES = 2 * CHUNK_MAX_BYTES
"""Maximum object size; a manifest of 65,536 chunks is smaller."""


class Assembly:
    """Collects the pieces of one request and verifies the complete object."""

    def __init__(self, digest: str, size_bytes: int | None) -> None:
        self._digest = digest
        self._size_bytes = size_bytes
        self._data = bytearray()

    @property
    def digest(self) -> str:
        """Return the digest of the complete object."""
        return self._digest

    @property
    def received_bytes(self) -> int:
        """Return the number of bytes received so far."""
        return len(self._data)

    @property
    def size_bytes(self) -> int | None:
        """Return the size of the complete object, or None if it is not known yet."""
        return self._size_bytes

    def add(self, piece: ChunkPiece, peer: str) -> bytes | Failure | None:
        """Add the next piece, and return the object once it is complete and verified.

        Return a `CORRUPT` failure if the order, a size or the digest is wrong.
        """
        expected_bytes = self._size_bytes or piece.total_bytes
        end = piece.offset + len(piece.data)
        is_in_order = piece.offset == len(self._data) and piece.data
        is_in_bounds = end <= piece.total_bytes <= OBJECT_MAX_BYTES
        if not (is_in_order and is_in_bounds and piece.total_bytes == expected_bytes):
            return self._fail(peer, f"piece at {piece.offset} does not fit")
        self._size_bytes = piece.total_bytes
        self._data += piece.data
        if end < piece.total_bytes:
            return None
        data = bytes(self._data)
        if digest_bytes(data) != self._digest:
            return self._fail(peer, "digest does not fit")
        return data

    def _fail(self, peer: str, detail: str) -> Failure:
        detail = f"{self._digest}: {detail}"
        return Failure(Reason.CORRUPT, Step.CHUNK_CHECK, peer, detail)


def split_into_pieces(digest: str, request_id: int, data: bytes) -> list[ChunkPiece]:
    """Return the messages that carry an object, in order."""
    return [
        ChunkPiece(
            digest,
            request_id,
            start,
            len(data),
            data[start : start + PIECE_MAX_BYTES],
        )
        for start in range(0, len(data), PIECE_MAX_BYTES)
    ]
