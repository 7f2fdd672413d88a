"""Identification of a request's workspace by its API key."""

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["WorkspaceAccess", "find_workspace"]

AUTHORIZATION_SCHEME = "bearer"


@dataclass(frozen=True, slots=True)
class WorkspaceAccess:
    """Name, priority and allowed regions of a workspace."""

    name: str
    priority: int | None = None
    """Overrides the route's priority; 0 is the most urgent, None: no override."""
    regions: frozenset[str] | None = None
    """Regions that may serve the workspace; None: all."""


def find_workspace(
    by_key: Mapping[str, WorkspaceAccess], authorization: str
) -> WorkspaceAccess | None:
    """Return the workspace whose API key is in an ``Authorization`` header, or None."""
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != AUTHORIZATION_SCHEME:
        return None
    return by_key.get(key.strip())
