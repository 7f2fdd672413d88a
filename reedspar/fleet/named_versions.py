"""The named versions of a model's weights, with the times at which they were named."""

import logging
from dataclasses import replace

from .records import NamedVersion

__all__ = ["VERSIONS_PER_MODEL_MAX", "NamedVersions"]

VERSIONS_PER_MODEL_MAX = 32
"""Maximum number of named versions kept for a model."""
LOGGED_CORRECTION_MIN_S = 0.1
"""Smallest correction of a naming time that is logged."""

_logger = logging.getLogger(__name__)


class NamedVersions:
    """Keeps versions so that the time of the first newer one is never forgotten.

    That time decides until when an older version may be served.  If there are too many,
    the two oldest are folded into one: the second, named at the time of the first.  A
    version below it can then only expire earlier.
    """

    def __init__(self, model: str) -> None:
        self._model = model
        self._versions: list[NamedVersion] = []

    @property
    def newest(self) -> NamedVersion | None:
        """Return the newest version."""
        return self._versions[-1] if self._versions else None

    def all(self) -> tuple[NamedVersion, ...]:
        """Return the versions in ascending order."""
        return tuple(self._versions)

    def add(self, version: int, now_s: float) -> bool:
        """Add a version that is named now; return False unless it is the newest."""
        if self._versions and version <= self._versions[-1].version:
            return False
        self._insert(NamedVersion(self._model, version, now_s, now_s))
        return True

    def record_naming_time(
        self, version: int, named_at_s: float, now_s: float, peer: str
    ) -> None:
        """Correct a naming time to a peer's if that is earlier.

        The version may have been replaced before this daemon learned of it.
        """
        newest = self.newest
        if newest is None or version > newest.version:
            return
        found = [i for i, k in enumerate(self._versions) if k.version == version]
        if not found:
            self._insert(NamedVersion(self._model, version, now_s, named_at_s))
            return
        known = self._versions[found[0]]
        if named_at_s >= known.named_at_s:
            return
        self._versions[found[0]] = replace(known, named_at_s=named_at_s)
        if known.named_at_s - named_at_s >= LOGGED_CORRECTION_MIN_S:
            _logger.info(
                "naming time of weights corrected",
                extra={
                    "model": self._model,
                    "version": version,
                    "peer": peer,
                    "late_ms": round((known.learned_at_s - named_at_s) * 1000),
                },
            )

    def _insert(self, named: NamedVersion) -> None:
        self._versions.append(named)
        self._versions.sort(key=lambda known: known.version)
        while len(self._versions) > VERSIONS_PER_MODEL_MAX:
            first, second = self._versions[:2]
            self._versions[:2] = [
                replace(
                    second,
                    learned_at_s=min(first.learned_at_s, second.learned_at_s),
                    named_at_s=min(first.named_at_s, second.named_at_s),
                )
            ]
