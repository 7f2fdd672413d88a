"""Settings models with types, defaults and descriptions, read from TOML files."""

from .loading import SettingsError, load_settings, load_site_settings
from .models import (
    DaemonSettings,
    LinkSettings,
    PlatformSettings,
    RequestSettings,
    TargetKind,
    TargetSettings,
    WeightSettings,
)
from .reloading import SettingsReloader
from .site import (
    AdmissionMode,
    AdmissionSettings,
    BoundSettings,
    LimitSettings,
    ListenSettings,
    SiteSettings,
    SocketAddress,
)

__all__ = [
    "AdmissionMode",
    "AdmissionSettings",
    "BoundSettings",
    "DaemonSettings",
    "LimitSettings",
    "LinkSettings",
    "ListenSettings",
    "PlatformSettings",
    "RequestSettings",
    "SettingsError",
    "SettingsReloader",
    "SiteSettings",
    "SocketAddress",
    "TargetKind",
    "TargetSettings",
    "WeightSettings",
    "load_settings",
    "load_site_settings",
]
