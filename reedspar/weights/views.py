"""What the controller of weights needs to know of the configuration and of peers."""

from collections.abc import Callable
from typing import Protocol

from reedspar.configuration import ConfigurationDocument
from reedspar.settings import LinkSettings, TargetSettings, WeightSettings

from .distribution import WeightPeer

__all__ = ["AgentSettings", "ConfigurationView", "PeerView", "VersionDeadlines"]


class AgentSettings(Protocol):
    """The settings of an agent as far as weights go."""

    @property
    def name(self) -> str:
        """Return the agent's name."""
        ...

    @property
    def zone(self) -> str:
        """Return its availability zone."""
        ...

    @property
    def region(self) -> str:
        """Return the region of its availability zone."""
        ...

    @property
    def links(self) -> LinkSettings:
        """Return the terms of its links."""
        ...

    @property
    def weights(self) -> WeightSettings:
        """Return the terms of the distribution."""
        ...

    @property
    def target(self) -> TargetSettings | None:
        """Return its target; None for an entry."""
        ...


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


class VersionDeadlines(Protocol):
    """Until when an older version of a model may be served."""

    def service_deadline_s(self, model: str, served: int) -> float:
        """Return the time by the timer service; infinite if there is no bound."""
        ...
