"""Protocol for the view of the fleet that the configuration depends on."""

from collections.abc import Callable
from typing import Protocol

__all__ = ["DaemonView"]


class DaemonView(Protocol):
    """The daemons that may be alive, including this one."""

    @property
    def is_initialized(self) -> bool:
        """Return whether the instance list has ever been received."""
        ...

    def zones(self) -> frozenset[str]:
        """Return every zone that may hold a daemon."""
        ...

    def zone_members(self, zone: str) -> tuple[str, ...]:
        """Return the names of the daemons in a zone."""
        ...

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the view."""
        ...
