"""State common to all commands: the client and the output streams."""

import json
import sys
from dataclasses import dataclass
from typing import Any, Protocol, TextIO

from pydantic import BaseModel
from rich.console import Console
from rich.table import Table
from rich.text import Text

from reedspar.admin import AdminClient, PatchRefused
from reedspar.errors import Failure

from .exit_codes import ExitCode, exit_code_for

__all__ = ["Command", "Session", "create_session", "to_json_value"]

UNWRAPPED_WIDTH = 1000
"""Width in characters of output to a pipe or file, wide enough for any row."""


def to_json_value(value: Any) -> Any:
    """Convert a model to types that `json` can write."""
    return value.model_dump(mode="json") if isinstance(value, BaseModel) else value


@dataclass(frozen=True, slots=True)
class Session:
    """One run of the tool."""

    client: AdminClient
    is_json: bool
    output: Console
    errors: Console

    def show_json(self, document: Any) -> None:
        """Write one JSON document."""
        text = json.dumps(to_json_value(document), indent=2, default=to_json_value)
        self.output.file.write(text + "\n")

    def show_line(self, text: str) -> None:
        """Write a line without wrapping it."""
        self.output.file.write(text + "\n")

    def show_table(self, columns: list[str], rows: list[list[str]]) -> None:
        """Write a table; a leading ``#`` marks a right-aligned column of numbers.

        Cells are never wrapped or truncated, so names can be copied.  A terminal that
        is too narrow wraps the whole line.
        """
        table = Table(box=None, pad_edge=False, padding=(0, 2, 0, 0))
        for column in columns:
            name = column.removeprefix("#")
            justify: Any = "right" if column.startswith("#") else "left"
            table.add_column(
                name.upper(), justify=justify, no_wrap=True, header_style="bold"
            )
        for row in rows:
            table.add_row(*[Text(cell) for cell in row])
        # rich truncates cells to fit a table to the terminal, so this console is wider
        # than any row.
        wide = Console(
            file=self.output.file,
            width=UNWRAPPED_WIDTH,
            force_terminal=self.output.is_terminal,
            highlight=False,
            markup=False,
        )
        wide.print(table, crop=False, soft_wrap=True)

    def warn(self, text: str) -> None:
        """Write a line to standard error."""
        self.errors.file.write(text + "\n")

    def report_failure(self, failure: Failure) -> ExitCode:
        """Report a failure with step and peer, and return its exit code."""
        if self.is_json:
            document = {
                "reason": failure.reason.value,
                "step": failure.step.value,
                "peer": failure.peer,
                "detail": failure.detail,
            }
            self.warn(json.dumps({"error": document}))
        else:
            self.warn(f"reedspar: {failure}")
        return exit_code_for(failure.reason)

    def report_refusal(self, refused: PatchRefused) -> ExitCode:
        """Report why a patch was not accepted, and return the exit code."""
        if self.is_json:
            self.warn(json.dumps({"error": refused.model_dump(mode="json")}))
            return exit_code_for(refused.reason)
        failure = Failure(refused.reason, refused.step, refused.peer, refused.detail)
        self.report_failure(failure)
        for error in refused.errors:
            self.warn(f"  {error.path}: {error.message}")
        if refused.current_version is not None:
            self.warn(f"  the current version is {refused.current_version}")
        return exit_code_for(refused.reason)


class Command(Protocol):
    """A parsed command of the tool."""

    async def run(self, session: Session) -> ExitCode:
        """Run the command."""
        ...


def create_console(file: TextIO) -> Console:
    """Create a console that colours terminals only and never wraps rows in a pipe."""
    width = None if file.isatty() else UNWRAPPED_WIDTH
    return Console(file=file, width=width, highlight=False, markup=False)


def create_session(
    client: AdminClient,
    *,
    is_json: bool = False,
    output: TextIO | None = None,
    errors: TextIO | None = None,
) -> Session:
    """Create a session that writes to the given or else the standard streams."""
    return Session(
        client,
        is_json,
        create_console(output or sys.stdout),
        create_console(errors or sys.stderr),
    )
