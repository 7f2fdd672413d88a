"""Settings: declared once with type, default and description, read from TOML."""

from .loading import SettingsError, load_settings
from .models import (
    DaemonSettings,
    LinkSettings,
    PlatformSettings,
    RequestSettings,
    TargetKind,
    TargetSettings,
    WeightSettings,
)

__all__ = [
    "DaemonSettings",
    "LinkSettings",
    "PlatformSettings",
    "RequestSettings",
    "SettingsError",
    "TargetKind",
    "TargetSettings",
    "WeightSettings",
    "load_settings",
]
