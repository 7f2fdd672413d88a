"""Upload of the chunks and the manifest of a version to the origin."""

from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from reedspar.configuration import ModelVersion
from reedspar.errors import Failure, Reason, Step, is_failure
from reedspar.utils import digest_bytes

from .manifest import (
    CHUNK_SIZE_BYTES,
    build_manifest,
    encode_manifest,
    iterate_chunks,
)

__all__ = ["Publication", "WeightSink", "publish_weights"]


class WeightSink(Protocol):
    """Storage for published objects, which are named by their SHA-256 digest."""

    async def has(self, name: str) -> bool | Failure:
        """Return whether the complete object is stored."""
        ...

    async def put(self, name: str, data: bytes) -> Failure | None:
        """Store an object; idempotent."""
        ...


@dataclass(frozen=True, slots=True)
class Publication:
    """A published version with its upload statistics."""

    model: str
    version: ModelVersion
    chunk_count: int
    uploaded_chunks: int
    uploaded_bytes: int


async def publish_weights(
    sink: WeightSink,
    model: str,
    label: str,
    sequence: int,
    weights: bytes | Path,
    chunk_size_bytes: int = CHUNK_SIZE_BYTES,
) -> Publication | Failure:
    """Upload the chunks that the origin lacks, then the manifest.

    The manifest is uploaded last, so that every version with a manifest is complete.
    A repeated call after a failure uploads only the missing objects.
    """
    manifest = build_manifest(model, label, sequence, weights, chunk_size_bytes)
    if isinstance(manifest, Failure):
        return manifest
    seen: set[str] = set()
    chunk_count = 0
    uploaded_chunks = 0
    uploaded_bytes = 0
    for data in iterate_chunks(weights, chunk_size_bytes):
        chunk_count += 1
        digest = digest_bytes(data)
        if digest in seen:
            continue
        seen.add(digest)
        is_new = await _upload(sink, digest, data)
        if isinstance(is_new, Failure):
            return is_new
        if is_new:
            uploaded_chunks += 1
            uploaded_bytes += len(data)
    if not seen.issuperset(manifest.chunk_digests):
        return Failure(
            Reason.CONFLICT,
            Step.MANIFEST,
            detail="the weights file changed during publishing",
        )
    encoded = encode_manifest(manifest)
    manifest_digest = digest_bytes(encoded)
    is_new = await _upload(sink, manifest_digest, encoded)
    if isinstance(is_new, Failure):
        return is_new
    version = ModelVersion(
        label=label,
        sequence=sequence,
        manifest_digest=manifest_digest,
        root_digest=manifest.root_digest,
        size_bytes=manifest.size_bytes,
    )
    return Publication(model, version, chunk_count, uploaded_chunks, uploaded_bytes)


async def _upload(sink: WeightSink, name: str, data: bytes) -> bool | Failure:
    """Store an object if the origin lacks it; return whether it was stored."""
    is_stored = await sink.has(name)
    if isinstance(is_stored, Failure):
        return is_stored
    if is_stored:
        return False
    failure = await sink.put(name, data)
    if is_failure(failure):
        return failure
    return True
