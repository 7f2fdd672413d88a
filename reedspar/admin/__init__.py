"""The operators' HTTP interface of a daemon."""

from .app import create_admin_app
from .document_history import DocumentHistory
from .models import (
    DaemonStatus,
    LinkStatus,
    MemberStatus,
    PatchAccepted,
    PatchError,
    PatchRefused,
    PatchRequest,
)
from .sources import AdminSources, ConfigurationSource, MemberSource, StatusSource

__all__ = [
    "AdminSources",
    "ConfigurationSource",
    "DaemonStatus",
    "DocumentHistory",
    "LinkStatus",
    "MemberSource",
    "MemberStatus",
    "PatchAccepted",
    "PatchError",
    "PatchRefused",
    "PatchRequest",
    "StatusSource",
    "create_admin_app",
]
