"""``reedspar config confirmed``, and waiting until a number is in force."""

from dataclasses import dataclass
from typing import Annotated

import anyio
import cappa

from reedspar.admin import DaemonStatus
from reedspar.errors import Failure

from .exit_codes import ExitCode
from .fleet import Answer, read_fleet
from .session import Session

__all__ = ["Confirmed", "wait_until_confirmed"]

CONFIRM_POLL_S = 0.5


def _confirmation(answer: Answer[DaemonStatus], version: int) -> str:
    if isinstance(answer.value, Failure):
        return "unreachable"
    return "confirmed" if answer.value.config_version >= version else "behind"


@cappa.command(name="confirmed")
@dataclass
class Confirmed:
    """Show which processes confirmed a number and which are unreachable."""

    version: Annotated[int, cappa.Arg(help="The number.")]

    async def run(self, session: Session) -> ExitCode:
        """Ask every process, and list those that lack the number first."""
        answers = await read_fleet(session.client)
        if isinstance(answers, Failure):
            return session.fail(answers)
        states = [_confirmation(answer, self.version) for answer in answers]
        is_whole = all(state == "confirmed" for state in states)
        rows = []
        for answer, state in zip(answers, states, strict=True):
            member, value = answer.member, answer.value
            known = "" if isinstance(value, Failure) else str(value.config_version)
            rows.append([member.name, member.role.value, member.zone, known, state])
        if session.is_json:
            names = ("name", "role", "zone", "config_version", "state")
            processes = [dict(zip(names, row, strict=True)) for row in rows]
            session.show_json({"version": self.version, "processes": processes})
        else:
            rows.sort(key=lambda row: row[-1] == "confirmed")
            session.show_table(["process", "role", "zone", "#version", "state"], rows)
            session.show_line(_count_states(states, self.version))
        return ExitCode.OK if is_whole else ExitCode.INCOMPLETE


def _count_states(states: list[str], version: int) -> str:
    counts = ", ".join(
        f"{states.count(state)} {state}"
        for state in ("confirmed", "behind", "unreachable")
    )
    return f"version {version}: {counts}, of {len(states)} processes"


async def wait_until_confirmed(
    session: Session, version: int, timeout_s: float
) -> ExitCode:
    """Wait until every process confirmed the number; else name those that lack it."""
    missing: list[str] = []
    with anyio.move_on_after(timeout_s):
        while True:
            answers = await read_fleet(session.client)
            if isinstance(answers, Failure):
                return session.fail(answers)
            states = [_confirmation(answer, version) for answer in answers]
            missing = [
                f"{answer.member.name} ({state})"
                for answer, state in zip(answers, states, strict=True)
                if state != "confirmed"
            ]
            if not missing:
                if not session.is_json:
                    session.show_line(f"in force in all {len(states)} processes")
                return ExitCode.OK
            await anyio.sleep(CONFIRM_POLL_S)
    session.warn(f"reedspar: version {version} is not confirmed by all after")
    session.warn(f"  {timeout_s:g} s: {', '.join(missing) or 'no process answered'}")
    return ExitCode.INCOMPLETE
