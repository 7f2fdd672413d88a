"""Exit codes, a stable interface for scripts."""

from enum import IntEnum

from reedspar.errors import Reason

__all__ = ["ExitCode", "exit_code_for"]


class ExitCode(IntEnum):
    """Exit code of a command."""

    OK = 0
    USAGE = 2
    """The command line is invalid; no process was contacted."""
    REFUSED = 3
    """The change violates a rule; nothing was changed."""
    STALE = 4
    """The configuration has a newer version; nothing was changed."""
    UNREACHABLE = 5
    """No response, or the key-value service is unavailable; nothing was changed."""
    OUTCOME_UNKNOWN = 6
    """The change may or may not have been made; retry it with the same patch id."""
    NOT_FOUND = 7
    INCOMPLETE = 8
    """Some processes did not respond, or the awaited state was not reached."""


EXIT_CODE_BY_REASON = {
    Reason.CONFLICT: ExitCode.STALE,
    Reason.OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
    Reason.NOT_FOUND: ExitCode.NOT_FOUND,
    Reason.UNAVAILABLE: ExitCode.UNREACHABLE,
    Reason.NOT_READY: ExitCode.UNREACHABLE,
    Reason.STALE: ExitCode.UNREACHABLE,
    Reason.TIMEOUT: ExitCode.UNREACHABLE,
}


def exit_code_for(reason: Reason) -> ExitCode:
    """Return the exit code for a failure's reason."""
    return EXIT_CODE_BY_REASON.get(reason, ExitCode.REFUSED)
