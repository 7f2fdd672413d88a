"""What the configuration needs to know of the other daemons."""

from collections.abc import Callable
from typing import Protocol

__all__ = ["DaemonView"]


class DaemonView(Protocol):
    """The daemons that may be alive, this one included."""

    @property
    def is_initialized(self) -> bool:
        """Tell whether the instance list was ever learned."""
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
