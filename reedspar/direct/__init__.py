"""Requests that go straight from an entry to a target, by routes.

The chain of filters, the relay and the endings are those of
`reedspar.requests`; this package finds the route, chooses the target by what
the entry itself knows of its load, and opens attempts without an agent.
"""

from .client import DirectAttemptClient, DirectResponse, TargetDialer
from .directory import choose_entries
from .loads import LoadReport
from .service import DirectService, create_direct_service

__all__ = [
    "DirectAttemptClient",
    "DirectResponse",
    "DirectService",
    "LoadReport",
    "TargetDialer",
    "choose_entries",
    "create_direct_service",
]
