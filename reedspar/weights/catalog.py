"""Named versions of models, made into the configuration that weights go by.

On a site the operator names a version by its number alone.  The digests that
everything else here goes by come from the version's manifest at the origin.
"""

import logging
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
from .succession import LOAD_S, Succession, should_finish_first

__all__ = ["KnownVersion", "ManifestReader", "VersionCatalog"]

RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.5
WAIT_POLL_S = 0.1
"""Pause before a manifest is asked for again, drawn anew each time, and between two
looks at the version that is finished first."""

_logger = logging.getLogger(__name__)
Listener = Callable[[ConfigurationDocument], None]


class ManifestReader(Protocol):
    """Reads manifests at the origin by the version's number."""

    async def read_manifest(self, model: str, version: int) -> Manifest | Failure:
        """Return the manifest of a version."""
        ...


@dataclass(frozen=True, slots=True)
class KnownVersion:
    """A version whose manifest is known."""

    manifest: Manifest
    encoded: bytes
    digest: str
    """Of the encoded manifest."""


class VersionCatalog:
    """Learns the manifests of named versions (see `ConfigurationView`)."""

    def __init__(
        self,
        pool: str,
        reader: ManifestReader,
        timers: TimerService,
        rng: random.Random,
        bound_s: float,
        link_bytes_per_s: float,
    ) -> None:
        self._pool = pool
        self._reader = reader
        self._timers = timers
        self._bound_s = bound_s
        self._link_bytes_per_s = link_bytes_per_s
        self._hold: Callable[[str, bytes], None] = lambda digest, data: None
        self._left_s: Callable[[str], float | None] = lambda model: None
        self._prefetch: Callable[[Manifest], None] = lambda manifest: None
        self._prefetched: set[tuple[str, int]] = set()
        self._named_s: dict[tuple[str, int], float] = {}
        self._rng = rng
        self._wanted: dict[str, int] = {}
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
        hold: Callable[[str, bytes], None],
        left_s: Callable[[str], float | None],
        prefetch: Callable[[Manifest], None],
    ) -> None:
        """Give manifests to `hold`, and ask `left_s` how far a model's version is.

        A version that has to wait for the one before it to be loaded goes to
        `prefetch`.
        """
        self._hold = hold
        self._left_s = left_s
        self._prefetch = prefetch

    def service_deadline_s(self, model: str, served: int) -> float:
        """Return until when a version may serve: the next one's naming ends it."""
        newer = [
            named_s
            for (name, version), named_s in self._named_s.items()
            if name == model and version > served
        ]
        return min(newer, default=float("inf")) + self._bound_s

    def set_named_version(self, model: str, version: int) -> None:
        """Take the version that a model is to be brought to; it only goes up."""
        if version > self._wanted.get(model, 0):
            if model in self._wanted:
                self._named_s[model, version] = self._timers.now_s()
            self._wanted[model] = version
            self._wakeup.set()

    def record_naming_time(self, model: str, version: int, named_s: float) -> None:
        """Take it that a version was named earlier than this agent heard of it."""
        known_s = self._named_s.get((model, version))
        if known_s is not None and named_s < known_s:
            self._named_s[model, version] = named_s

    def find_version(self, root_digest: str) -> tuple[str, int] | None:
        """Return model and version with a root digest."""
        found = (
            key
            for key, known in self._known.items()
            if known.manifest.root_digest == root_digest
        )
        return next(found, None)

    def root_digest_of(self, model: str, version: int) -> str:
        """Return a version's root digest, empty if its manifest is not known."""
        known = self._known.get((model, version))
        return known.manifest.root_digest if known is not None else ""

    async def run(self) -> None:
        """Fetch the manifests of named versions until cancelled."""
        while True:
            self._wakeup = anyio.Event()
            is_done = await self._learn(self._unpublished())
            for key in self._unpublished():
                if key in self._known:
                    self._move_on(*key)
            if not self._unpublished():
                await self._wakeup.wait()
                continue
            pause_s = self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S)
            with anyio.move_on_after(WAIT_POLL_S if is_done else pause_s):
                await self._wakeup.wait()

    def _move_on(self, model: str, version: int) -> None:
        """Publish a version, or fetch it ahead beside the one before it.

        What is nearly whole is asked for first, so the earlier one is not held up.
        Where it lacks chunks that nobody has, the link would idle.
        """
        known = self._known[model, version]
        if not self._is_to_wait(model, version):
            self._publish(known)
        elif (model, version) not in self._prefetched:
            self._prefetched.add((model, version))
            self._hold(known.digest, known.encoded)
            self._prefetch(known.manifest)

    def _is_to_wait(self, model: str, version: int) -> bool:
        """Tell whether the version on its way is to be finished first."""
        current = self._published.get(model)
        left_s = self._left_s(model)
        if current is None or left_s is None:
            return False
        number = current.manifest.sequence
        named_s = self._named_s.get((model, number))
        next_named_s = self._named_s.get((model, version))
        if named_s is None or next_named_s is None:
            return False
        copy_s = current.manifest.size_bytes / self._link_bytes_per_s
        current_until_s = next_named_s + self._bound_s
        # By what this agent lacks, half of the fleet would drop a version and the
        # others keep to it, and neither would come in time.  The times at which the
        # two were named are the same everywhere.
        succession = Succession(
            next_named_s,
            max(0.0, named_s + copy_s - next_named_s),
            copy_s,
            named_s + self._bound_s,
            current_until_s,
        )
        is_in_time = self._timers.now_s() + left_s + LOAD_S < current_until_s
        return is_in_time and should_finish_first(succession)

    def _unpublished(self) -> list[tuple[str, int]]:
        return [
            (model, version)
            for model, version in self._wanted.items()
            if self._published.get(model) is not self._known.get((model, version))
            or (model, version) not in self._known
        ]

    async def _learn(self, keys: list[tuple[str, int]]) -> bool:
        """Fetch the manifests that are missing; tell whether every read went well."""
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
        self._hold(known.digest, known.encoded)
        self._document = self._make_document()
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

    def _make_document(self) -> ConfigurationDocument:
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
