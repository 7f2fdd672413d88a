"""Interfaces to settings, configuration and peers that the weight code requires."""

from collections.abc import Callable
from typing import Protocol

from reedspar.configuration import ConfigurationDocument
from reedspar.settings import LinkSettings, TargetSettings, WeightSettings

from .distribution import WeightPeer

__all__ = ["AgentSettings", "ConfigurationView", "PeerView", "VersionDeadlines"]


class AgentSettings(Protocol):
    """The daemon settings that the distribution of weights uses."""

    @property
    def name(self) -> str:
        """Return the agent's name."""
        ...

    @property
    def zone(self) -> str:
        """Return the availability zone of the agent."""
        ...

    @property
    def region(self) -> str:
        """Return the region of the availability zone."""
        ...

    @property
    def links(self) -> LinkSettings:
        """Return the settings of the links."""
        ...

    @property
    def weights(self) -> WeightSettings:
        """Return the settings of the distribution."""
        ...

    @property
    def target(self) -> TargetSettings | None:
        """Return the settings of the target, or None for an entry."""
        ...


class PeerView(Protocol):
    """A view of the live agents."""

    def agents_of(self, model: str) -> tuple[WeightPeer, ...]:
        """Return the other live agents whose pools serve a model, and the caches."""
        ...


class ConfigurationView(Protocol):
    """A view of the configuration."""

    @property
    def document(self) -> ConfigurationDocument | None:
        """Return the latest document, or None if there is none yet."""
        ...

    def on_change(self, listener: Callable[[ConfigurationDocument], None]) -> None:
        """Call `listener` with each newer document."""
        ...


class VersionDeadlines(Protocol):
    """Deadlines of replaced versions."""

    def service_deadline_s(self, model: str, served: int) -> float:
        """Return when a version may no longer be served; infinity for the newest.

        The time is that of the timer service.
        """
        ...
