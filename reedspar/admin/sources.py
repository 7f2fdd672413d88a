"""Interfaces through which the operators' HTTP interface reads and changes a daemon."""

from dataclasses import dataclass
from typing import Protocol

from reedspar.configuration import ConfigurationDocument
from reedspar.errors import Failure
from reedspar.telemetry import Metrics
from reedspar.timeline import EventRecorder

from .models import DaemonStatus, MemberStatus, PatchRefused, PatchRequest

__all__ = ["AdminSources", "ConfigurationSource", "MemberSource", "StatusSource"]


class StatusSource(Protocol):
    """Source of the daemon's state."""

    def read_status(self) -> DaemonStatus:
        """Return the current state."""
        ...


class MemberSource(Protocol):
    """Source of the daemon's view of the fleet."""

    def list_members(self) -> tuple[MemberStatus, ...]:
        """Return all known daemons, including this one."""
        ...


class ConfigurationSource(Protocol):
    """Source of the configuration known to this daemon; accepts patches."""

    def read_document(self) -> ConfigurationDocument | None:
        """Return the document in use here; None until one was received."""
        ...

    async def read_version(
        self, version: int
    ) -> ConfigurationDocument | Failure | None:
        """Return an earlier version; None if it is not available."""
        ...

    async def apply_patch(self, request: PatchRequest) -> int | PatchRefused:
        """Apply a patch; return the number of the new version, or the refusal.

        The reason of a refusal is CONFLICT (the base is outdated; `current_version` is
        set), INVALID (`errors` is set), UNAVAILABLE (not applied) or OUTCOME_UNKNOWN.
        For a patch whose id is in the document's history, the version number that it
        was accepted with is returned again.
        """
        ...


@dataclass(frozen=True, slots=True)
class AdminSources:
    """The sources from which the operators' interface is built."""

    status: StatusSource
    members: MemberSource
    configuration: ConfigurationSource
    recorder: EventRecorder
    metrics: Metrics
