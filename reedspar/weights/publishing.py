"""Publishing: bring a version's chunks and manifest to the origin."""

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
    """Where a publisher puts objects; an object's name is its SHA-256 digest."""

    async def has(self, name: str) -> bool | Failure:
        """Tell whether the object is there whole."""
        ...

    async def put(self, name: str, data: bytes) -> Failure | None:
        """Store an object; storing the same one again changes nothing."""
        ...


@dataclass(frozen=True, slots=True)
class Publication:
    """A published version, and what publishing it took."""

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

    The manifest goes last, so that a version that can be named is whole.
    Calling it again after a failure uploads only what is still missing.
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
        return Failure(Reason.CONFLICT, Step.MANIFEST, detail="the file changed")
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
    """Store an object unless it is there; tell whether it was new."""
    is_there = await sink.has(name)
    if isinstance(is_there, Failure):
        return is_there
    if is_there:
        return False
    failure = await sink.put(name, data)
    if is_failure(failure):
        return failure
    return True
