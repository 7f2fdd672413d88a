"""Manifests, which list the ordered chunks of a model version and their digests."""

import hashlib
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, Self

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from reedspar.errors import Failure, Reason, Step
from reedspar.utils import digest_bytes

__all__ = [
    "CHUNK_SIZE_BYTES",
    "Chunk",
    "Manifest",
    "build_manifest",
    "compute_root_digest",
    "decode_manifest",
    "encode_manifest",
    "iterate_chunks",
]

CHUNK_SIZE_BYTES = 256 * 1024
CHUNK_MAX_BYTES = 4 * 1024 * 1024
CHUNK_COUNT_MAX = 65_536

Digest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]


class ManifestModel(BaseModel):
    """Base class of the parts of a manifest; rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Chunk(ManifestModel):
    """A chunk of weights; versions with the same bytes share it."""

    digest: Digest
    size_bytes: int = Field(ge=1, le=CHUNK_MAX_BYTES)


class Manifest(ManifestModel):
    """The ordered chunks of one version of a model or adapter."""

    model: Name
    label: str
    sequence: int = Field(ge=1)
    root_digest: Digest
    chunks: tuple[Chunk, ...] = Field(min_length=1, max_length=CHUNK_COUNT_MAX)

    @model_validator(mode="after")
    def _check_root(self) -> Self:
        sizes: dict[str, int] = {}
        for chunk in self.chunks:
            if sizes.setdefault(chunk.digest, chunk.size_bytes) != chunk.size_bytes:
                raise ValueError(f"chunk {chunk.digest} has two sizes")
        if compute_root_digest(c.digest for c in self.chunks) != self.root_digest:
            raise ValueError("root_digest does not fit the chunk digests")
        return self

    @property
    def size_bytes(self) -> int:
        """Return the total size of the weights."""
        return sum(chunk.size_bytes for chunk in self.chunks)

    @property
    def chunk_digests(self) -> tuple[str, ...]:
        """Return the chunk digests in order."""
        return tuple(chunk.digest for chunk in self.chunks)


def compute_root_digest(digests: Iterable[str]) -> str:
    """Return the SHA-256 over the concatenated ASCII hex digests of the chunks."""
    root = hashlib.sha256()
    for digest in digests:
        root.update(digest.encode("ascii"))
    return root.hexdigest()


def iterate_chunks(
    weights: bytes | Path, chunk_size_bytes: int = CHUNK_SIZE_BYTES
) -> Iterator[bytes]:
    """Yield the chunks of weights in memory or in a file, in order."""
    if not 1 <= chunk_size_bytes <= CHUNK_MAX_BYTES:
        raise ValueError(f"chunk_size_bytes must be 1 to {CHUNK_MAX_BYTES}")
    if isinstance(weights, bytes):
        for start in range(0, len(weights), chunk_size_bytes):
            yield weights[start : start + chunk_size_bytes]
        return
    with weights.open("rb") as file:
        while data := file.read(chunk_size_bytes):
            yield data


def build_manifest(
    model: str,
    label: str,
    sequence: int,
    weights: bytes | Path,
    chunk_size_bytes: int = CHUNK_SIZE_BYTES,
) -> Manifest | Failure:
    """Return the manifest of weights; `INVALID` if they or a name are not valid."""
    try:
        chunks = tuple(
            Chunk(digest=digest_bytes(data), size_bytes=len(data))
            for data in iterate_chunks(weights, chunk_size_bytes)
        )
        return Manifest(
            model=model,
            label=label,
            sequence=sequence,
            root_digest=compute_root_digest(chunk.digest for chunk in chunks),
            chunks=chunks,
        )
    except (OSError, ValueError) as error:
        return Failure(Reason.INVALID, Step.MANIFEST, detail=_describe(error))


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the bytes that the origin stores under their SHA-256 digest."""
    return manifest.model_dump_json().encode()


def decode_manifest(data: bytes, expected_digest: str) -> Manifest | Failure:
    """Return the manifest; `CORRUPT` for a wrong digest, `INVALID` for bad content."""
    if digest_bytes(data) != expected_digest:
        return Failure(Reason.CORRUPT, Step.MANIFEST, detail=expected_digest)
    try:
        return Manifest.model_validate_json(data)
    except ValidationError as error:
        return Failure(Reason.INVALID, Step.MANIFEST, detail=_describe(error))


def _describe(error: Exception) -> str:
    if not isinstance(error, ValidationError):
        return str(error)
    item = error.errors()[0]
    key = ".".join(str(part) for part in item["loc"]) or "manifest"
    return f"{key}: {item['msg']}"
