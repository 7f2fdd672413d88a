"""Protocols of what requests need to know of the configuration and the entries."""

from dataclasses import dataclass
from typing import Protocol

from reedspar.configuration import ConfigurationDocument

__all__ = ["ConfigurationView", "EntryAddress", "EntryDirectory"]


class ConfigurationView(Protocol):
    """The configuration in force, and whether that is confirmed."""

    @property
    def document(self) -> ConfigurationDocument | None:
        """Return the document in force, or None before it was learned."""
        ...

    def is_fresh(self) -> bool:
        """Tell whether a recent confirmation allows new work to start."""
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
    """The entries that are known to live, this one among them."""

    def entries(self) -> tuple[EntryAddress, ...]:
        """Return the entries, leaving ones marked."""
        ...
