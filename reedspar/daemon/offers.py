"""Offer sources, which provide the confirmed weights, for each kind of target."""

from reedspar.attempts import LoadedWeights
from reedspar.configuration import ConfigurationController
from reedspar.platform import EngineState
from reedspar.weights import WeightController

__all__ = ["ModelEngineOffers", "PlainServiceOffers"]


class PlainServiceOffers:
    """The offer source of a plain service, which needs no weights."""

    def offered(self) -> tuple[LoadedWeights, ...]:
        """Return no weights."""
        return ()

    def is_offering(self) -> bool:
        """Return True, as no weights are needed."""
        return True

    def record_engine_state(self, state: EngineState | None) -> None:
        """Ignore the target's state, which contains no weights."""


class ModelEngineOffers:
    """The offer source of a model engine, which needs every model of its pool."""

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
        """Return whether the weights of every model of the pool are confirmed."""
        document = self._configuration.current()
        pool = document.pools.get(self._pool) if document else None
        if pool is None:
            return False
        offered = {weights.model for weights in self._weights.offered()}
        return bool(pool.models) and offered.issuperset(pool.models)

    def record_engine_state(self, state: EngineState | None) -> None:
        """Record the engine's state, or None if the engine is unreachable."""
        if state is None:
            self._weights.record_engine_lost()
        else:
            self._weights.record_engine_state(state)
