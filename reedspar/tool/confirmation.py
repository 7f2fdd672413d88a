"""``reedspar config confirmed``, and waiting until all processes confirm a version."""

from dataclasses import dataclass
from typing import Annotated

import anyio
import cappa

from reedspar.admin import DaemonStatus, MemberStatus
from reedspar.errors import Failure

from .exit_codes import ExitCode
from .fleet_queries import CONCURRENT_QUERIES_MAX, member_url, read_fleet
from .session import Session

__all__ = ["Confirmed", "wait_until_confirmed"]

CONFIRMATION_POLL_INTERVAL_S = 0.5
CONFIRMED = "confirmed"
BEHIND = "behind"
UNREACHABLE = "unreachable"


def _classify_confirmation(status: DaemonStatus | Failure, version: int) -> str:
    if isinstance(status, Failure):
        return UNREACHABLE
    return CONFIRMED if status.config_version >= version else BEHIND


@cappa.command(name="confirmed")
@dataclass
class Confirmed:
    """Show which processes have confirmed a version and which are unreachable."""

    version: Annotated[int, cappa.Arg(help="The version number.")]

    async def run(self, session: Session) -> ExitCode:
        """Query all processes; list those that have not confirmed the version first."""
        results = await read_fleet(session.client)
        if isinstance(results, Failure):
            return session.report_failure(results)
        states = [
            _classify_confirmation(result.value, self.version) for result in results
        ]
        is_confirmed_by_all = all(state == CONFIRMED for state in states)
        rows = []
        for result, state in zip(results, states, strict=True):
            member, value = result.member, result.value
            version = "" if isinstance(value, Failure) else str(value.config_version)
            rows.append([member.name, member.role.value, member.zone, version, state])
        if session.is_json:
            names = ("name", "role", "zone", "config_version", "state")
            processes = [dict(zip(names, row, strict=True)) for row in rows]
            session.show_json({"version": self.version, "processes": processes})
        else:
            rows.sort(key=lambda row: row[-1] == CONFIRMED)
            session.show_table(["process", "role", "zone", "#version", "state"], rows)
            session.show_line(_count_states(states, self.version))
        return ExitCode.OK if is_confirmed_by_all else ExitCode.INCOMPLETE


def _count_states(states: list[str], version: int) -> str:
    counts = ", ".join(
        f"{states.count(state)} {state}" for state in (CONFIRMED, BEHIND, UNREACHABLE)
    )
    return f"version {version}: {counts}, of {len(states)} processes"


async def wait_until_confirmed(
    session: Session, version: int, timeout_s: float
) -> ExitCode:
    """Wait until all processes confirm a version; at the timeout, name the others."""
    members = await session.client.list_members()
    if isinstance(members, Failure):
        return session.report_failure(members)
    unconfirmed = {member.name: UNREACHABLE for member in members}
    limiter = anyio.CapacityLimiter(CONCURRENT_QUERIES_MAX)

    async def poll(member: MemberStatus) -> None:
        # Each process is polled independently: a frozen one responds late or never, and
        # must not delay the others.
        while member.name in unconfirmed:
            async with limiter:
                status = await session.client.read_status(member_url(member))
            unconfirmed[member.name] = _classify_confirmation(status, version)
            if unconfirmed[member.name] == CONFIRMED:
                del unconfirmed[member.name]
            else:
                await anyio.sleep(CONFIRMATION_POLL_INTERVAL_S)

    with anyio.move_on_after(timeout_s):
        async with anyio.create_task_group() as group:
            for member in members:
                group.start_soon(poll, member)
    if not unconfirmed:
        if not session.is_json:
            session.show_line(f"in force in all {len(members)} processes")
        return ExitCode.OK
    names = ", ".join(
        f"{name} ({state})" for name, state in sorted(unconfirmed.items())
    )
    session.warn(
        f"reedspar: after {timeout_s:g} s version {version} is confirmed by "
        f"{len(members) - len(unconfirmed)} of {len(members)} processes; "
        f"not by: {names}"
    )
    return ExitCode.INCOMPLETE
