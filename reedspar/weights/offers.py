"""Tracking of the loaded versions that may be offered to requests."""

from collections.abc import Mapping

from reedspar.attempts import LoadedWeights
from reedspar.configuration import ModelVersion
from reedspar.errors import InvariantError
from reedspar.platform import EngineState

__all__ = ["OfferTracker"]


class OfferTracker:
    """Compares the versions that the engine reports with the published versions.

    A version is offered only while the latest report of the engine's current boot
    contains its root digest.  Otherwise, a target that restarted or lost its weights
    would receive requests that it can't answer, or answer them from other weights than
    the caller was told.
    """

    def __init__(self) -> None:
        self._known: dict[str, dict[str, int]] = {}
        self._wanted: dict[str, ModelVersion] = {}
        self._switching: set[str] = set()
        self._highest: dict[str, int] = {}
        self._reported: dict[str, str] = {}
        self._boot_id = ""
        self._are_reports_trusted = False

    @property
    def boot_id(self) -> str:
        """Return the id of the engine's current boot, or an empty string if unknown."""
        return self._boot_id

    def set_wanted(self, wanted: Mapping[str, ModelVersion]) -> None:
        """Set the versions that the target is to serve, by model."""
        self._wanted = dict(wanted)
        for model, version in wanted.items():
            self.add_version(model, version.root_digest, version.sequence)
        self._update_highest()

    def add_version(self, model: str, root_digest: str, sequence: int) -> None:
        """Add a version that is completely published."""
        known = self._known.setdefault(model, {})
        known[root_digest] = max(sequence, known.get(root_digest, 0))

    def trust_reports(self) -> None:
        """Start to rely on reports, as no earlier agent's order can be in flight."""
        self._are_reports_trusted = True
        self._update_highest()

    def begin_switch(self, model: str, sequence: int) -> None:
        """Withdraw a model until `end_switch`; raise an error for an older version."""
        if sequence < self._highest.get(model, 0):
            raise InvariantError(
                f"{model}: version {sequence} ordered after {self._highest[model]}"
            )
        self._switching.add(model)

    def end_switch(self, model: str) -> None:
        """Offer a model again if the engine reports it."""
        self._switching.discard(model)
        self._update_highest()

    def record_state(self, state: EngineState) -> bool:
        """Store the engine's report; return whether the engine has restarted."""
        is_new_boot = state.boot_id != self._boot_id
        self._boot_id = state.boot_id
        self._reported = dict(state.loaded)
        self._update_highest()
        return is_new_boot

    def record_engine_lost(self) -> None:
        """Withdraw all versions because the engine can't be reached."""
        self._reported = {}

    def is_confirmed(self, model: str) -> bool:
        """Return whether the engine reports the wanted version."""
        wanted = self._wanted.get(model)
        return wanted is not None and self._is_reported(model, wanted.root_digest)

    def is_serving(self, model: str) -> bool:
        """Return whether a version is in service that a switch would interrupt."""
        return self._are_reports_trusted and self._is_current(model)

    def served_sequence(self, model: str) -> int:
        """Return the sequence of the version that the engine reports, or 0."""
        known = self._known.get(model, {})
        return known.get(self._reported.get(model, ""), 0)

    def is_not_older(self, model: str, sequence: int) -> bool:
        """Return whether a version is not older than the newest one served."""
        return sequence >= self._highest.get(model, 0)

    def offered(self) -> tuple[LoadedWeights, ...]:
        """Return the versions that may serve requests."""
        if not self._are_reports_trusted:
            return ()
        return tuple(
            LoadedWeights(model, self._reported[model])
            for model in sorted(self._wanted)
            if model not in self._switching and self._is_current(model)
        )

    def _is_current(self, model: str) -> bool:
        known = self._known.get(model, {})
        sequence = known.get(self._reported.get(model, ""))
        return sequence is not None and sequence >= self._highest.get(model, 0)

    def _is_reported(self, model: str, root_digest: str) -> bool:
        return self._reported.get(model) == root_digest

    def _update_highest(self) -> None:
        """Update the newest version served of each model."""
        if not self._are_reports_trusted:
            return
        for model in self._known:
            sequence = self.served_sequence(model)
            self._highest[model] = max(sequence, self._highest.get(model, 0))
