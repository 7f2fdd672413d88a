"""Load settings files; errors name the key, the value and the broken rule."""

import tomllib
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ValidationError

from .models import DaemonSettings
from .site import SiteSettings

__all__ = ["SettingsError", "load_settings", "load_site_settings"]

ModelT = TypeVar("ModelT", bound=BaseModel)


class SettingsError(Exception):
    """An unusable settings file; the message names key, value and broken rule."""


def load_settings(path: Path) -> DaemonSettings:
    """Return the settings in the TOML file at `path`; raise `SettingsError`."""
    return _load(path, DaemonSettings)


def load_site_settings(path: Path) -> SiteSettings:
    """Return the settings of a daemon at a site; raise `SettingsError`."""
    return _load(path, SiteSettings)


def _load(path: Path, model: type[ModelT]) -> ModelT:
    try:
        document = tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    try:
        return model.model_validate(document)
    except ValidationError as error:
        raise SettingsError(_describe_error(path, error)) from error


def _describe_error(path: Path, error: ValidationError) -> str:
    lines = []
    for item in error.errors():
        key = ".".join(str(part) for part in item["loc"]) or "(whole file)"
        value = "" if item["type"] == "missing" else f" = {_truncate(item['input'])}"
        lines.append(f"{path}: {key}{value}: {item['msg']}")
    return "\n".join(lines)


def _truncate(value: object, limit: int = 60) -> str:
    text = repr(value)
    return text if len(text) <= limit else f"{text[:limit]}..."
