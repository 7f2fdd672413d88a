"""Requests that an entry sends directly to a target, without an agent.

This package finds the route of a request, chooses the target by the loads that the
entry knows, and opens the attempts.  The filter chain, the relay and the outcomes are
those of `reedspar.requests`.
"""

from .client import (
    DirectAttemptClient,
    DirectResponse,
    TargetDialer,
)
from .entry_choice import choose_entries
from .loads import LoadReport
from .notices import NoticeListener, TargetNotice
from .service import DirectService, create_direct_service

__all__ = [
    "DirectAttemptClient",
    "DirectResponse",
    "DirectService",
    "LoadReport",
    "NoticeListener",
    "TargetDialer",
    "TargetNotice",
    "choose_entries",
    "create_direct_service",
]
