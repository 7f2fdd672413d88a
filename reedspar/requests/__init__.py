"""Handling of callers' requests at an entry: filters, claims, routing and relay."""

from typing import TYPE_CHECKING

from reedspar.utils import create_lazy_getattr

if TYPE_CHECKING:
    from .application import RequestApplication
    from .attempt_client import AttemptClient
    from .messages import register_messages
    from .request import Answer, Filter, Outcome, Request
    from .service import RequestService, create_request_service
    from .target_directory import TargetDirectory
    from .views import ConfigurationView, EntryAddress, EntryDirectory

__all__ = [
    "Answer",
    "AttemptClient",
    "ConfigurationView",
    "EntryAddress",
    "EntryDirectory",
    "Filter",
    "Outcome",
    "Request",
    "RequestApplication",
    "RequestService",
    "TargetDirectory",
    "create_request_service",
    "register_messages",
]

if not TYPE_CHECKING:
    __getattr__ = create_lazy_getattr(
        __name__,
        {
            "application": ("RequestApplication",),
            "attempt_client": ("AttemptClient",),
            "messages": ("register_messages",),
            "request": (
                "Answer",
                "Filter",
                "Outcome",
                "Request",
            ),
            "service": (
                "RequestService",
                "create_request_service",
            ),
            "target_directory": ("TargetDirectory",),
            "views": (
                "ConfigurationView",
                "EntryAddress",
                "EntryDirectory",
            ),
        },
    )
