"""Staging state of the chunks of a version at the engine."""

from dataclasses import dataclass

from reedspar.configuration import ModelVersion

from .manifest import Manifest

__all__ = ["StagedVersion", "StagingOrder"]


@dataclass(frozen=True, slots=True)
class StagingOrder:
    """An order to stage a chunk at an index of a version."""

    model: str
    root_digest: str
    index: int
    digest: str
    boot_id: str
    """The boot of the engine that has the other chunks; a restart loses them."""


class StagedVersion:
    """The staging state of one version of a model."""

    def __init__(self, model: str, version: ModelVersion) -> None:
        self.model = model
        self.version = version
        self.manifest: Manifest | None = None
        self.is_invalid = False
        self._indexes: dict[str, list[int]] = {}
        self._missing: set[int] = set()
        self._expired_s = float("-inf")
        self._verified_s: dict[int, float] = {}
        """Time of the last successful verification, by chunk index."""

    @property
    def root_digest(self) -> str:
        """Return the version's root digest."""
        return self.version.root_digest

    @property
    def chunk_digests(self) -> tuple[str, ...]:
        """Return the chunk digests by index; empty until the manifest is set."""
        return self.manifest.chunk_digests if self.manifest is not None else ()

    @property
    def is_fully_staged(self) -> bool:
        """Return whether all chunks are staged in the engine's current boot."""
        return self.manifest is not None and not self._missing

    def set_manifest(self, manifest: Manifest) -> bool:
        """Set the manifest; return whether it matches the configured version."""
        expected = (self.model, self.version.sequence, self.root_digest)
        found = (manifest.model, manifest.sequence, manifest.root_digest)
        if expected != found:
            self.is_invalid = True
            return False
        self.manifest = manifest
        self._indexes = {}
        for index, digest in enumerate(manifest.chunk_digests):
            self._indexes.setdefault(digest, []).append(index)
        self.reset()
        return True

    def reset(self) -> None:
        """Record that the engine has lost all staged chunks."""
        if self.manifest is not None:
            self._missing = set(range(len(self.manifest.chunks)))
            self._verified_s.clear()

    def mark_lost(self, index: int) -> None:
        """Record that the chunk at an index is missing or corrupt."""
        self._missing.add(index)
        self._verified_s.pop(index, None)

    def record_verified(self, index: int, verified_s: float) -> None:
        """Record when the chunk at an index was verified."""
        is_expired = verified_s < self._expired_s
        self._verified_s[index] = float("-inf") if is_expired else verified_s

    def expire_verified(self, now_s: float) -> None:
        """Require every staged chunk to be verified again, as of now."""
        self._expired_s = now_s
        self._verified_s = dict.fromkeys(self._verified_s, float("-inf"))

    def unverified_since(self, time_s: float) -> list[int]:
        """Return the indexes of chunks last verified before a time, oldest first."""
        stale = [i for i, last_s in self._verified_s.items() if last_s < time_s]
        return sorted(stale, key=self._verified_s.__getitem__)

    def orders_for(self, digest: str, boot_id: str) -> list[StagingOrder]:
        """Return the orders to stage a chunk at each index that lacks it."""
        return [
            StagingOrder(self.model, self.root_digest, index, digest, boot_id)
            for index in self._indexes.get(digest, ())
            if index in self._missing
        ]

    def needs(self, digest: str) -> bool:
        """Return whether the engine lacks a chunk at any index."""
        return any(index in self._missing for index in self._indexes.get(digest, ()))

    def mark_staged(self, order: StagingOrder, sent_s: float) -> None:
        """Record that the engine accepted a chunk, verified as of `sent_s`."""
        self.record_staged(order.index, sent_s)

    def record_staged(self, index: int, verified_s: float) -> None:
        """Record that the engine has a chunk, verified as of `verified_s`."""
        self._missing.discard(index)
        self.record_verified(index, verified_s)
