"""Reload a settings file that is rewritten while the daemon runs."""

import logging
from collections.abc import Callable
from pathlib import Path

from .loading import SettingsError, load_site_settings
from .site import SiteSettings

__all__ = ["SettingsReloader"]

_logger = logging.getLogger(__name__)


class SettingsReloader:
    """Reload the settings file on request, or when it has changed."""

    def __init__(self, path: Path, settings: SiteSettings) -> None:
        self._path = path
        self._settings = settings
        self._stamp = self._read_stamp()
        self._listeners: list[Callable[[SiteSettings], None]] = []

    @property
    def settings(self) -> SiteSettings:
        """Return the current settings."""
        return self._settings

    def on_change(self, listener: Callable[[SiteSettings], None]) -> None:
        """Call `listener` with the new settings each time that they have changed."""
        self._listeners.append(listener)

    def reload_if_changed(self) -> None:
        """Reload the file if it has changed since the last read."""
        stamp = self._read_stamp()
        if stamp != self._stamp:
            self.reload()

    def reload(self) -> None:
        """Reload the file; keep the current settings if it is invalid."""
        self._stamp = self._read_stamp()
        try:
            settings = load_site_settings(self._path)
        except SettingsError as error:
            _logger.error("settings not reloaded", extra={"error": str(error)})
            return
        changed = [
            name
            for name in type(settings).model_fields
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        _logger.info("settings reloaded", extra={"changed": changed})
        if not changed:
            return
        self._settings = settings
        for listener in self._listeners:
            listener(settings)

    def _read_stamp(self) -> tuple[int, int] | None:
        """Return the file's modification time and size; None if it is missing."""
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size
