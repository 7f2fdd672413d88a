"""Telemetry for operators: JSON-line logs, metrics and invariant violations."""

from .invariants import (
    InvariantReporter,
    check_invariant,
    create_invariant_reporter,
    install_invariant_reporter,
)
from .logs import JsonFormatter, configure_logging
from .metrics import Metrics, create_metrics

__all__ = [
    "InvariantReporter",
    "JsonFormatter",
    "Metrics",
    "check_invariant",
    "configure_logging",
    "create_invariant_reporter",
    "create_metrics",
    "install_invariant_reporter",
]
