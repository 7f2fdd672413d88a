"""Assembly of an object from pieces that arrive in order."""

from reedspar.errors import Failure, Reason, Step
from reedspar.utils import digest_bytes

from .manifest import CHUNK_LIMIT_BYTES
from .messages import PIECE_SIZE_BYTES, ChunkPiece

__all__ = ["OBJECT_LIMIT_BYTES", "Assembly", "split_into_pieces"]

OBJECT_LIMIT_BYTES = 2 * CHUNK_LIMIT_BYTES
"""Largest object; a manifest of 65,536 chunks stays below it."""


class Assembly:
    """The pieces of one request, and the check of the whole."""

    def __init__(self, digest: str, size_bytes: int | None) -> None:
        self._digest = digest
        self._size_bytes = size_bytes
        self._data = bytearray()

    @property
    def digest(self) -> str:
        """Return the digest of the whole."""
        return self._digest

    @property
    def received_bytes(self) -> int:
        """Return how much has arrived."""
        return len(self._data)

    @property
    def size_bytes(self) -> int | None:
        """Return the size of the whole, None until it is known."""
        return self._size_bytes

    def add(self, piece: ChunkPiece, peer: str) -> bytes | Failure | None:
        """Take the next piece; return the checked object once it is whole.

        `CORRUPT` if the sender broke the order or the sizes, or if the digest
        does not fit: nothing that fails the check ever leaves here.
        """
        expected_bytes = self._size_bytes or piece.total_bytes
        end = piece.offset + len(piece.data)
        is_in_order = piece.offset == len(self._data) and piece.data
        is_in_bounds = end <= piece.total_bytes <= OBJECT_LIMIT_BYTES
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
    """Return the messages that carry an object."""
    return [
        ChunkPiece(
            digest,
            request_id,
            start,
            len(data),
            data[start : start + PIECE_SIZE_BYTES],
        )
        for start in range(0, len(data), PIECE_SIZE_BYTES)
    ]
