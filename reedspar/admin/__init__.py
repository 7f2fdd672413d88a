"""The operators' HTTP interface of a daemon."""

from .app import create_admin_app
from .client import AdminClient, create_admin_client
from .document_history import DocumentHistory
from .models import (
    AgentStatus,
    DaemonStatus,
    EntryStatus,
    EventPageBody,
    LinkStatus,
    MemberStatus,
    PatchAccepted,
    PatchError,
    PatchRefused,
    PatchRequest,
    TransferStatus,
)
from .sources import AdminSources, ConfigurationSource, MemberSource, StatusSource
from .stored_configuration import create_configuration_source

__all__ = [
    "AdminClient",
    "AdminSources",
    "AgentStatus",
    "ConfigurationSource",
    "DaemonStatus",
    "DocumentHistory",
    "EntryStatus",
    "EventPageBody",
    "LinkStatus",
    "MemberSource",
    "MemberStatus",
    "PatchAccepted",
    "PatchError",
    "PatchRefused",
    "PatchRequest",
    "StatusSource",
    "TransferStatus",
    "create_admin_app",
    "create_admin_client",
    "create_configuration_source",
]
