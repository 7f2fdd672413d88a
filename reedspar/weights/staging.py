"""Which chunks of a version the engine has, lacks, and is being given."""

from dataclasses import dataclass

from reedspar.configuration import ModelVersion

from .manifest import Manifest

__all__ = ["StagedVersion", "StagingOrder"]


@dataclass(frozen=True, slots=True)
class StagingOrder:
    """A chunk to hand to the engine at one place of a version."""

    model: str
    root_digest: str
    index: int
    digest: str
    boot_id: str
    """The boot that the chunk is meant for; another one has lost the others."""


class StagedVersion:
    """The way of one version of a model into the engine."""

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
    def is_whole(self) -> bool:
        """Tell whether the engine was given every chunk in its present boot."""
        return self.manifest is not None and not self._missing

    def set_manifest(self, manifest: Manifest) -> bool:
        """Take the manifest; tell whether it is the one that was announced."""
        announced = (self.model, self.version.sequence, self.root_digest)
        found = (manifest.model, manifest.sequence, manifest.root_digest)
        if announced != found:
            self.is_invalid = True
            return False
        self.manifest = manifest
        self._indexes = {}
        for index, digest in enumerate(manifest.chunk_digests):
            self._indexes.setdefault(digest, []).append(index)
        self.reset()
        return True

    def reset(self) -> None:
        """Note that the engine has lost what it was given."""
        if self.manifest is not None:
            self._missing = set(range(len(self.manifest.chunks)))
            self._verified_s.clear()

    def lose(self, index: int) -> None:
        """Note that the chunk at a place is not there as it should be."""
        self._missing.add(index)
        self._verified_s.pop(index, None)

    def note_verified(self, index: int, verified_s: float) -> None:
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
        """Return what to hand to the engine now that a chunk is there."""
        return [
            StagingOrder(self.model, self.root_digest, index, digest, boot_id)
            for index in self._indexes.get(digest, ())
            if index in self._missing
        ]

    def needs(self, digest: str) -> bool:
        """Tell whether the engine lacks a chunk at any place."""
        return any(index in self._missing for index in self._indexes.get(digest, ()))

    def mark(self, order: StagingOrder, sent_s: float) -> None:
        """Record that the engine accepted a chunk, verified as of `sent_s`."""
        self.note_staged(order.index, sent_s)

    def note_staged(self, index: int, verified_s: float) -> None:
        """Record that the engine has a chunk, verified as of `verified_s`."""
        self._missing.discard(index)
        self.note_verified(index, verified_s)
