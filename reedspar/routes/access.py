"""Whose request it is: API keys of workspaces."""

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["WorkspaceAccess", "find_workspace"]

KEY_SCHEME = "bearer"


@dataclass(frozen=True, slots=True)
class WorkspaceAccess:
    """A workspace as the configuration names it."""

    name: str
    priority: int | None = None
    """Goes before the route's priority; 0 is the most urgent, None leaves it."""
    regions: frozenset[str] | None = None
    """Regions that may serve it; None: all."""


def find_workspace(
    by_key: Mapping[str, WorkspaceAccess], authorization: str
) -> WorkspaceAccess | None:
    """Return the workspace that holds the key of an ``Authorization`` header."""
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != KEY_SCHEME:
        return None
    return by_key.get(key.strip())
