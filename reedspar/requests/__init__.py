"""Requests of callers at an entry: filters, routing, retries, claims, relay."""

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
