"""Containment of unexpected errors, so that they do not end the daemon."""

from .tasks import ContainedTasks, TaskSpawner, run_restarting
from .unexpected_errors import (
    UnexpectedErrors,
    call_contained,
    install_unexpected_errors,
    read_error_counts,
    report_unexpected_error,
)

__all__ = [
    "ContainedTasks",
    "TaskSpawner",
    "UnexpectedErrors",
    "call_contained",
    "install_unexpected_errors",
    "read_error_counts",
    "report_unexpected_error",
    "run_restarting",
]
