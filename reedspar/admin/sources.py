"""What the interface asks of the daemon that it belongs to."""

from dataclasses import dataclass
from typing import Protocol

from reedspar.configuration import ConfigurationDocument
from reedspar.errors import Failure
from reedspar.telemetry import Metrics
from reedspar.timeline import EventRecorder

from .models import DaemonStatus, MemberStatus, PatchRefused, PatchRequest

__all__ = ["AdminSources", "ConfigurationSource", "MemberSource", "StatusSource"]


class StatusSource(Protocol):
    """The daemon's own state."""

    def read_status(self) -> DaemonStatus:
        """Return the state as it is now."""
        ...


class MemberSource(Protocol):
    """The daemon's view of the others."""

    def list_members(self) -> tuple[MemberStatus, ...]:
        """Return every daemon known, this one included."""
        ...


class ConfigurationSource(Protocol):
    """The configuration as this daemon knows it, and its changes."""

    def read_document(self) -> ConfigurationDocument | None:
        """Return the document in force here; None until one was learned."""
        ...

    async def read_version(
        self, version: int
    ) -> ConfigurationDocument | Failure | None:
        """Return an earlier version; None if it is no longer kept."""
        ...

    async def apply_patch(self, request: PatchRequest) -> int | PatchRefused:
        """Return the new version's number, or why there is none.

        The reason is CONFLICT (stale; `current_version` is set), INVALID
        (`errors` is set), UNAVAILABLE (not applied) or OUTCOME_UNKNOWN.  A
        patch whose id is in the document's history is accepted again with the
        number that it got.
        """
        ...


@dataclass(frozen=True, slots=True)
class AdminSources:
    """All that the operators' interface draws on."""

    status: StatusSource
    members: MemberSource
    configuration: ConfigurationSource
    recorder: EventRecorder
    metrics: Metrics
