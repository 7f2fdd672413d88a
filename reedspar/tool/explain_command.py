"""``reedspar explain``: what happened to a request, from the logs of all processes."""

import json
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated

import cappa

from reedspar.errors import Failure, Reason, Step
from reedspar.timeline import (
    LogLine,
    count_unlogged_requests,
    explain_request,
    read_log_lines,
)
from reedspar.timeline.events import format_time
from reedspar.timeline.text_rendering import make_printable

from .exit_codes import ExitCode
from .session import Session

__all__ = ["Explain"]

CLOCK_TIME_SLICE = slice(11, 23)
"""The time of day in an ISO 8601 timestamp, to the millisecond."""


@cappa.command(name="explain")
@dataclass
class Explain:
    """Explain the outcome of a request from logs alone.

    Shows the lines that name the request, the relevant state that each process last
    logged before the request ended, and which lines to read next.
    """

    request: Annotated[
        str, cappa.Arg(help="The caller's or the system's id of the request.")
    ]
    logs: Annotated[
        list[Path],
        cappa.Arg(num_args=-1, required=True, help="Log files of all processes."),
    ]

    async def run(self, session: Session) -> ExitCode:
        """Read the logs and write the explanation."""
        lines = read_log_lines(self.logs)
        if isinstance(lines, Failure):
            return session.report_failure(lines)
        explanation = explain_request(lines, self.request)
        if explanation is None:
            return session.report_failure(self._explain_missing_lines(lines))
        if session.is_json:
            session.show_json(asdict(explanation))
            return ExitCode.OK
        session.show_line("Known before it ended:")
        self._show_lines(session, explanation.known)
        session.show_line("The request:")
        self._show_lines(session, explanation.own)
        session.show_line(make_printable(explanation.conclusion))
        return ExitCode.OK

    def _show_lines(self, session: Session, lines: Sequence[LogLine]) -> None:
        for line in lines:
            clock = format_time(line.time_s)[CLOCK_TIME_SLICE]
            fields = json.dumps(line.fields, ensure_ascii=False)
            text = f"{clock}  {line.process}  {line.message}  {fields}"
            session.show_line(f"  {make_printable(text)}")

    def _explain_missing_lines(self, lines: Sequence[LogLine]) -> Failure:
        detail = (
            f"no line of {len(lines)} names request {self.request}: it reached none of "
            "these processes, or it was answered (one answer in 50 has a line), or it "
            f"is among the {count_unlogged_requests(lines)} that summaries count as "
            "left out"
        )
        return Failure(Reason.NOT_FOUND, Step.SETTINGS, detail=detail)
