"""Configuration documents for versions that the operator names by number.

On a site, the operator names only the number of a version.  Its digests are read from
its manifest at the origin.
"""

import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import anyio

from reedspar.configuration import (
    ConfigurationDocument,
    ModelVersion,
    PoolConfiguration,
    PoolKind,
)
from reedspar.errors import Failure
from reedspar.timers import TimerService
from reedspar.utils import digest_bytes

from .manifest import Manifest, encode_manifest
from .succession import (
    LOAD_DURATION_S,
    TransferSequence,
)

__all__ = ["KnownVersion", "ManifestReader", "VersionCatalog"]

KNOWN_VERSIONS_MAX = 8
"""Number of the newest versions of a model whose manifests are kept."""
MANIFEST_RETRY_MIN_S = 0.1
MANIFEST_RETRY_MAX_S = 0.5
"""Bounds of the random delay before a manifest is read again."""
SUCCESSION_POLL_INTERVAL_S = 0.1
"""Interval at which the decision to finish the current transfer is made again."""

_logger = logging.getLogger(__name__)
Listener = Callable[[ConfigurationDocument], None]


class ManifestReader(Protocol):
    """Reads manifests by model and version number."""

    async def read_manifest(self, model: str, version: int) -> Manifest | Failure:
        """Return the manifest of a version."""
        ...


@dataclass(frozen=True, slots=True)
class KnownVersion:
    """A version whose manifest has been read."""

    manifest: Manifest
    encoded: bytes
    digest: str
    """Digest of the encoded manifest."""


class VersionCatalog:
    """Reads the manifests of named versions and implements `ConfigurationView`.

    `bound_s` is how long a version may be served after a newer one was named.
    """

    def __init__(
        self,
        pool: str,
        reader: ManifestReader,
        timers: TimerService,
        rng: random.Random,
        bound_s: float,
        link_bytes_per_s: float,
        read_origin_bytes_per_s: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self._pool = pool
        self._reader = reader
        self._timers = timers
        self._version_bound_s = bound_s
        self._link_bytes_per_s = link_bytes_per_s
        self._read_origin_bytes_per_s = read_origin_bytes_per_s
        self._store_object: Callable[[str, bytes], None] = lambda digest, data: None
        self._left_s: Callable[[str], float | None] = lambda model: None
        self._prefetch: Callable[[Manifest], None] = lambda manifest: None
        self._cancel_prefetch: Callable[[Manifest], None] = lambda manifest: None
        self._is_stalled: Callable[[str], bool] = lambda model: False
        self._prefetched: dict[str, Manifest] = {}
        self._sequences: dict[str, TransferSequence] = {}
        self._finished_before: dict[str, int] = {}
        """The version before which the current transfer is to be finished, by model."""
        self._rng = rng
        self._named_versions: dict[str, int] = {}
        self._known: dict[tuple[str, int], KnownVersion] = {}
        self._published: dict[str, KnownVersion] = {}
        self._document: ConfigurationDocument | None = None
        self._listeners: list[Listener] = []
        self._wakeup = anyio.Event()

    @property
    def document(self) -> ConfigurationDocument | None:
        """Return the latest document, or None before the first manifest."""
        return self._document

    def on_change(self, listener: Listener) -> None:
        """Call `listener` with each newer document."""
        self._listeners.append(listener)

    def set_callbacks(
        self,
        store_object: Callable[[str, bytes], None],
        left_s: Callable[[str], float | None],
        prefetch: Callable[[Manifest], None],
        cancel_prefetch: Callable[[Manifest], None] = lambda manifest: None,
        is_stalled: Callable[[str], bool] = lambda model: False,
    ) -> None:
        """Set the callbacks of the weight controller.

        `store_object` receives encoded manifests, and `left_s` returns the remaining
        transfer time of a model's current version.  `prefetch` receives the manifest of
        a version that is loaded only after the current one, `cancel_prefetch` that of
        one that will not be loaded any more.  `is_stalled` returns whether no missing
        chunk of a model's current version becomes available.
        """
        self._is_stalled = is_stalled
        self._store_object = store_object
        self._left_s = left_s
        self._prefetch = prefetch
        self._cancel_prefetch = cancel_prefetch

    def service_deadline_s(self, model: str, served: int) -> float:
        """Return when a version may no longer be served; infinity for the newest."""
        return self._sequence_of(model).service_deadline_s(served)

    def set_named_version(self, model: str, version: int) -> None:
        """Set the version that targets are to serve; ignore older versions."""
        if version > self._named_versions.get(model, 0):
            self._sequence_of(model).add_named(version, self._timers.now_s())
            self._named_versions[model] = version
            self._wakeup.set()

    def record_naming_time(self, model: str, version: int, named_at_s: float) -> None:
        """Record that a version was named earlier than this agent learned of it."""
        now_s = self._timers.now_s()
        self._sequence_of(model).record_naming_time(version, named_at_s, now_s)

    def _sequence_of(self, model: str) -> TransferSequence:
        if model not in self._sequences:
            self._sequences[model] = TransferSequence(model, self._version_bound_s)
        return self._sequences[model]

    def find_version(self, root_digest: str) -> tuple[str, int] | None:
        """Return the model and version with a root digest, or None if unknown."""
        found = [
            key
            for key, known in self._known.items()
            if known.manifest.root_digest == root_digest
        ]
        # Versions with the same chunks have the same digest.
        return max(found, key=lambda key: key[1], default=None)

    def root_digest_of(self, model: str, version: int) -> str:
        """Return a version's root digest, empty if its manifest is not known."""
        known = self._known.get((model, version))
        return known.manifest.root_digest if known is not None else ""

    async def run(self) -> None:
        """Fetch the manifests of named versions until cancelled."""
        while True:
            self._wakeup = anyio.Event()
            are_all_read = await self._read_manifests(self._unpublished())
            for key in self._unpublished():
                if key in self._known:
                    self._publish_or_prefetch(*key)
            if not self._unpublished():
                await self._wakeup.wait()
                continue
            pause_s = self._rng.uniform(MANIFEST_RETRY_MIN_S, MANIFEST_RETRY_MAX_S)
            with anyio.move_on_after(
                SUCCESSION_POLL_INTERVAL_S if are_all_read else pause_s
            ):
                await self._wakeup.wait()

    def _publish_or_prefetch(self, model: str, version: int) -> None:
        """Publish a version, or prefetch it while the current one is transferred.

        Prefetching uses the link while the current version lacks chunks that no peer
        holds.  It does not delay that version, since the distribution requests the
        version with the fewest missing chunks first.
        """
        known = self._known[model, version]
        prefetched = self._prefetched.get(model)
        if prefetched is not None and prefetched.sequence != version:
            self._cancel_prefetch(self._prefetched.pop(model))
        if not self._should_defer(model, version):
            self._begin(known)
            self._publish(known)
        elif model not in self._prefetched:
            self._prefetched[model] = known.manifest
            self._store_object(known.digest, known.encoded)
            self._prefetch(known.manifest)

    def _begin(self, known: KnownVersion) -> None:
        manifest = known.manifest
        self._prefetched.pop(manifest.model, None)
        self._sequence_of(manifest.model).begin(
            manifest.sequence,
            self._timers.now_s(),
            has_current_arrived=self._left_s(manifest.model) is None,
        )

    def _should_defer(self, model: str, version: int) -> bool:
        """Return whether the current transfer is to be finished first."""
        current = self._published.get(model)
        left_s = self._left_s(model)
        if current is None or left_s is None:
            return False
        sequence = self._sequence_of(model)
        number = current.manifest.sequence
        until_s = sequence.service_deadline_s(number)
        if self._timers.now_s() + left_s + LOAD_DURATION_S >= until_s:
            return False
        if sequence.is_removed(number) and self._is_stalled(model):
            return False
        # Corrections of naming times must not reverse a decision on some of the agents.
        if self._finished_before.get(model) == version:
            return True
        size_bytes = current.manifest.size_bytes
        is_finished = sequence.should_finish(
            version,
            size_bytes / self._link_bytes_per_s,
            size_bytes / self._read_origin_bytes_per_s(),
        )
        if is_finished:
            self._finished_before[model] = version
        return is_finished

    def _unpublished(self) -> list[tuple[str, int]]:
        return [
            (model, version)
            for model, version in self._named_versions.items()
            if self._published.get(model) is not self._known.get((model, version))
            or (model, version) not in self._known
        ]

    async def _read_manifests(self, keys: list[tuple[str, int]]) -> bool:
        """Read the missing manifests; return whether all reads succeeded."""
        for model, version in keys:
            if (model, version) in self._known:
                continue
            manifest = await self._reader.read_manifest(model, version)
            if isinstance(manifest, Failure):
                failure = str(manifest)
                extra = {"model": model, "version": version, "failure": failure}
                _logger.warning("manifest was not read", extra=extra)
                return False
            encoded = encode_manifest(manifest)
            known = KnownVersion(manifest, encoded, digest_bytes(encoded))
            self._known[model, version] = known
        return True

    def _publish(self, known: KnownVersion) -> None:
        manifest = known.manifest
        self._published[manifest.model] = known
        self._forget_old(manifest.model)
        self._store_object(known.digest, known.encoded)
        self._document = self._build_document()
        _logger.info(
            "weights wanted",
            extra={
                "model": manifest.model,
                "version": manifest.sequence,
                "root_digest": manifest.root_digest,
            },
        )
        for listener in self._listeners:
            listener(self._document)

    def _forget_old(self, model: str) -> None:
        """Forget the manifests of versions that are neither new nor served."""
        versions = sorted(version for name, version in self._known if name == model)
        served = self._sequence_of(model).arrived_version
        for version in versions[:-KNOWN_VERSIONS_MAX]:
            if version != served:
                del self._known[model, version]

    def _build_document(self) -> ConfigurationDocument:
        number = self._document.version + 1 if self._document is not None else 1
        models = {
            model: ModelVersion(
                label=known.manifest.label,
                sequence=known.manifest.sequence,
                manifest_digest=known.digest,
                root_digest=known.manifest.root_digest,
                size_bytes=known.manifest.size_bytes,
            )
            for model, known in self._published.items()
        }
        pool = PoolConfiguration(kind=PoolKind.MODEL, models=tuple(models))
        return ConfigurationDocument(
            version=number, pools={self._pool: pool}, models=models
        )
