"""What the target's controller learns of weights, for each kind of target."""

from reedspar.attempts import LoadedWeights
from reedspar.configuration import ConfigurationController
from reedspar.platform import EngineState
from reedspar.weights import WeightController

__all__ = ["PlainOffers", "WeightOffers"]


class PlainOffers:
    """A plain service needs no weights."""

    def offered(self) -> tuple[LoadedWeights, ...]:
        """Return none."""
        return ()

    def is_offering(self) -> bool:
        """Tell that nothing is lacking."""
        return True

    def record_engine_state(self, state: EngineState | None) -> None:
        """Take in the target's report; it says nothing of weights."""


class WeightOffers:
    """A model engine is offered once every model of its pool is confirmed."""

    def __init__(
        self,
        pool: str,
        weights: WeightController,
        configuration: ConfigurationController,
    ) -> None:
        self._pool = pool
        self._weights = weights
        self._configuration = configuration

    def offered(self) -> tuple[LoadedWeights, ...]:
        """Return the confirmed weights."""
        return self._weights.offered()

    def is_offering(self) -> bool:
        """Tell whether all that the pool needs is confirmed."""
        document = self._configuration.current()
        pool = document.pools.get(self._pool) if document else None
        if pool is None:
            return False
        offered = {weights.model for weights in self._weights.offered()}
        return bool(pool.models) and offered.issuperset(pool.models)

    def record_engine_state(self, state: EngineState | None) -> None:
        """Take in the target's report, or None if it can't be reached."""
        if state is None:
            self._weights.record_engine_lost()
        else:
            self._weights.record_engine_state(state)
