"""Test helper that creates staged versions."""

from reedspar.configuration import ModelVersion
from reedspar.errors import Failure
from reedspar.weights import build_manifest
from reedspar.weights.staged_version import StagedVersion

__all__ = ["make_staged_version"]


def make_staged_version(model: str, chunks: list[bytes]) -> StagedVersion:
    """Return a version with chunks of equal size, none of them staged yet."""
    manifest = build_manifest(model, "2", 2, b"".join(chunks), len(chunks[0]))
    assert not isinstance(manifest, Failure)
    version = ModelVersion(
        label="2",
        sequence=2,
        manifest_digest="0" * 64,
        root_digest=manifest.root_digest,
        size_bytes=manifest.size_bytes,
    )
    staged = StagedVersion(model, version)
    staged.set_manifest(manifest)
    return staged
