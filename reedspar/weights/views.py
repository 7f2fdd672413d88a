"""What the controller of weights needs to know of the configuration and of peers."""

from collections.abc import Callable
from typing import Protocol

from reedspar.configuration import ConfigurationDocument

from .distribution import WeightPeer

__all__ = ["ConfigurationView", "PeerView"]


class PeerView(Protocol):
    """What the membership knows of the other agents."""

    def agents_of(self, model: str) -> tuple[WeightPeer, ...]:
        """Return the live agents, without this one, whose pools serve a model."""
        ...


class ConfigurationView(Protocol):
    """The configuration as this daemon knows it."""

    @property
    def document(self) -> ConfigurationDocument | None:
        """Return the latest document, or None before the first."""
        ...

    def on_change(self, listener: Callable[[ConfigurationDocument], None]) -> None:
        """Call `listener` with each newer document."""
        ...
