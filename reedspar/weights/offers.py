"""Which loaded version of each model may be offered: a decision on what is proved."""

from collections.abc import Mapping

from reedspar.attempts import LoadedWeights
from reedspar.configuration import ModelVersion
from reedspar.errors import InvariantError
from reedspar.platform import EngineState

__all__ = ["OfferBook"]


class OfferBook:
    """What the engine holds, as it says itself, against the versions known whole.

    A version is offered only while the engine's latest word, in its present
    boot, names the version's root digest.  A target that restarts or loses
    its weights without warning would otherwise be given requests that it
    answers from nothing, or from other weights than the caller was told.
    """

    def __init__(self) -> None:
        self._known: dict[str, dict[str, int]] = {}
        self._wanted: dict[str, ModelVersion] = {}
        self._switching: set[str] = set()
        self._highest: dict[str, int] = {}
        self._reported: dict[str, str] = {}
        self._boot_id = ""
        self._is_settled = False

    @property
    def boot_id(self) -> str:
        """Return the engine's present boot, empty if it is not known."""
        return self._boot_id

    def set_wanted(self, wanted: Mapping[str, ModelVersion]) -> None:
        """Take the models that the target is to serve."""
        self._wanted = dict(wanted)
        for model, version in wanted.items():
            self.add_known(model, version.root_digest, version.sequence)
        self._raise_highest()

    def add_known(self, model: str, root_digest: str, sequence: int) -> None:
        """Take a version that is known to be published whole."""
        known = self._known.setdefault(model, {})
        known[root_digest] = max(sequence, known.get(root_digest, 0))

    def settle(self) -> None:
        """Trust reports from now on: no predecessor's order can be in flight."""
        self._is_settled = True
        self._raise_highest()

    def begin_switch(self, model: str, sequence: int) -> None:
        """Withdraw a model until its switch ends; it only goes forward."""
        if sequence < self._highest.get(model, 0):
            raise InvariantError(
                f"{model}: version {sequence} ordered after {self._highest[model]}"
            )
        self._switching.add(model)

    def end_switch(self, model: str) -> None:
        """Offer again whatever the engine reports."""
        self._switching.discard(model)
        self._raise_highest()

    def note_state(self, state: EngineState) -> bool:
        """Take the engine's report; tell whether it is another boot than before."""
        is_new_boot = state.boot_id != self._boot_id
        self._boot_id = state.boot_id
        self._reported = dict(state.loaded)
        self._raise_highest()
        return is_new_boot

    def note_lost(self) -> None:
        """Withdraw everything: the engine can't be asked."""
        self._reported = {}

    def is_confirmed(self, model: str) -> bool:
        """Tell whether the engine reports the wanted version."""
        wanted = self._wanted.get(model)
        return wanted is not None and self._is_reported(model, wanted.root_digest)

    def is_serving(self, model: str) -> bool:
        """Tell whether a switch would take a version from service."""
        return self._is_settled and self._is_current(model)

    def served_sequence(self, model: str) -> int:
        """Return the number of the version that the engine reports, 0 if unknown."""
        known = self._known.get(model, {})
        return known.get(self._reported.get(model, ""), 0)

    def is_forward(self, model: str, sequence: int) -> bool:
        """Tell whether a version may still be ordered."""
        return sequence >= self._highest.get(model, 0)

    def offered(self) -> tuple[LoadedWeights, ...]:
        """Return the versions that requests may be given to."""
        if not self._is_settled:
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

    def _raise_highest(self) -> None:
        """Remember the newest version that was served here."""
        if not self._is_settled:
            return
        for model in self._known:
            sequence = self.served_sequence(model)
            self._highest[model] = max(sequence, self._highest.get(model, 0))
