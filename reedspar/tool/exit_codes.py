"""Exit codes, which scripts may rely on."""

from enum import IntEnum

from reedspar.errors import Reason

__all__ = ["ExitCode", "exit_code_for"]


class ExitCode(IntEnum):
    """How a command ended."""

    OK = 0
    USAGE = 2
    """The command line is wrong; nothing was asked."""
    REFUSED = 3
    """The change breaks a rule; nothing was changed."""
    STALE = 4
    """The configuration has a newer number; nothing was changed."""
    UNREACHABLE = 5
    """No answer, or the key-value service is down; nothing was changed."""
    OUTCOME_UNKNOWN = 6
    """The change may or may not have been made; ask again with its patch id."""
    NOT_FOUND = 7
    INCOMPLETE = 8
    """The answer lacks some processes, or what was waited for did not come."""


CODES = {
    Reason.CONFLICT: ExitCode.STALE,
    Reason.OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
    Reason.NOT_FOUND: ExitCode.NOT_FOUND,
    Reason.UNAVAILABLE: ExitCode.UNREACHABLE,
    Reason.NOT_READY: ExitCode.UNREACHABLE,
    Reason.STALE: ExitCode.UNREACHABLE,
    Reason.TIMEOUT: ExitCode.UNREACHABLE,
}


def exit_code_for(reason: Reason) -> ExitCode:
    """Return the exit code of a failure."""
    return CODES.get(reason, ExitCode.REFUSED)
