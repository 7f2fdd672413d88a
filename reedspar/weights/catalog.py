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
from reedspar.utils import digest_bytes

from .manifest import Manifest, encode_manifest

__all__ = ["KnownVersion", "ManifestReader", "VersionCatalog"]

RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.5
"""Pause before a manifest is asked for again, drawn anew each time."""

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
        rng: random.Random,
    ) -> None:
        self._pool = pool
        self._reader = reader
        self._hold: Callable[[str, bytes], None] = lambda digest, data: None
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

    def on_manifest(self, hold: Callable[[str, bytes], None]) -> None:
        """Give each manifest to `hold` before the document that names it."""
        self._hold = hold

    def name(self, model: str, version: int) -> None:
        """Take the version that a model is to be brought to; it only goes up."""
        if version > self._wanted.get(model, 0):
            self._wanted[model] = version
            self._wakeup.set()

    def number_of(self, root_digest: str) -> tuple[str, int] | None:
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
            if not await self._fetch_wanted():
                pause_s = self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S)
                with anyio.move_on_after(pause_s):
                    await self._wakeup.wait()
            elif not self._unpublished():
                await self._wakeup.wait()

    def _unpublished(self) -> list[tuple[str, int]]:
        return [
            (model, version)
            for model, version in self._wanted.items()
            if self._published.get(model) is not self._known.get((model, version))
            or (model, version) not in self._known
        ]

    async def _fetch_wanted(self) -> bool:
        """Fetch what is missing; tell whether every read went well."""
        for model, version in self._unpublished():
            result = await self._reader.read_manifest(model, version)
            if isinstance(result, Failure):
                _logger.warning(
                    "manifest was not read",
                    extra={"model": model, "version": version, "failure": str(result)},
                )
                return False
            self._publish(result)
        return True

    def _publish(self, manifest: Manifest) -> None:
        encoded = encode_manifest(manifest)
        known = KnownVersion(manifest, encoded, digest_bytes(encoded))
        self._known[(manifest.model, manifest.sequence)] = known
        self._published[manifest.model] = known
        self._hold(known.digest, encoded)
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
