"""Protocols for the configuration and the entries, as used by this package."""

from dataclasses import dataclass
from typing import Protocol

from reedspar.configuration import ConfigurationDocument

__all__ = ["ConfigurationView", "EntryAddress", "EntryDirectory"]


class ConfigurationView(Protocol):
    """The configuration in force, and whether it was confirmed recently."""

    @property
    def document(self) -> ConfigurationDocument | None:
        """Return the document in force, or None before one has been received."""
        ...

    def is_fresh(self) -> bool:
        """Return whether a recent confirmation allows new work to start."""
        ...


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """An entry that callers may use."""

    name: str
    zone: str
    host: str
    http_port: int
    is_leaving: bool = False


class EntryDirectory(Protocol):
    """The live entries, including this one."""

    def entries(self) -> tuple[EntryAddress, ...]:
        """Return the live entries; those shutting down are marked as leaving."""
        ...
