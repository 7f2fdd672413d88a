"""``reedspar zone out`` and ``zone in``.

Zones are taken out under time pressure, so the tool checks for two serious mistakes: a
zone name that no process has, which would change nothing, and a zone without which a
pool has no targets left.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from reedspar.admin import MemberStatus
from reedspar.configuration import ConfigurationDocument, ZoneState
from reedspar.errors import Failure, Reason, Step
from reedspar.links.messages import Role

from .confirmation import wait_until_confirmed
from .exit_codes import ExitCode
from .patch_retry import PatchResult, patch_current_document
from .session import Session

__all__ = ["Zone", "check_zone_change", "count_remaining_targets"]

CONFIRMATION_TIMEOUT_S = 10.0


def count_remaining_targets(
    members: Iterable[MemberStatus], document: ConfigurationDocument, zone_out: str
) -> dict[str, tuple[int, int]]:
    """Return the numbers of targets left without `zone_out` and of all, by pool."""
    left: Counter[str] = Counter()
    known: Counter[str] = Counter()
    for member in members:
        if member.role is not Role.AGENT:
            continue
        known[member.pool] += 1
        is_in = document.is_zone_in(member.zone) and member.zone != zone_out
        if is_in and member.state == "live":
            left[member.pool] += 1
    return {pool: (left[pool], known[pool]) for pool in sorted(known)}


def check_zone_change(
    members: Iterable[MemberStatus],
    document: ConfigurationDocument,
    zone: str,
    state: ZoneState,
) -> Failure | None:
    """Return a failure if the change is probably a mistake."""
    members = tuple(members)
    zones = {member.zone for member in members}
    if zone not in zones and zone not in document.zones:
        detail = f"no process is in zone {zone}; known: {', '.join(sorted(zones))}"
        return Failure(Reason.INVALID, Step.CONFIGURE, detail=detail)
    if state is ZoneState.IN:
        return None
    now = count_remaining_targets(members, document, "")
    left = count_remaining_targets(members, document, zone)
    empty = [pool for pool, (count, _) in left.items() if count == 0 < now[pool][0]]
    if empty:
        detail = f"no target would be left in: {', '.join(empty)} (--force overrides)"
        return Failure(Reason.INVALID, Step.CONFIGURE, detail=detail)
    return None


async def set_zone_state(
    session: Session, change: "ZoneChange", state: ZoneState
) -> ExitCode:
    """Patch the zone's state, and wait until all processes confirm it."""
    members = await session.client.list_members()
    if isinstance(members, Failure):
        return session.report_failure(members)
    zone = change.zone

    def make_patch(document: ConfigurationDocument) -> dict[str, Any] | Failure | None:
        mistake = check_zone_change(members, document, zone, state)
        if mistake and not change.force:
            return mistake
        if document.zones.get(zone, ZoneState.IN) is state:
            return None
        return {"zones": {zone: state.value}}

    summary = f"zone {state.value} {zone}"
    result = await patch_current_document(session, make_patch, summary, change.base)
    if isinstance(result, ExitCode):
        return result
    _show_change(session, result, zone, state)
    if state is ZoneState.OUT and result.patch_id and not session.is_json:
        _show_remaining_targets(session, members, result.before, zone)
    if change.wait <= 0:
        return ExitCode.OK
    return await wait_until_confirmed(session, result.version, change.wait)


def _show_change(
    session: Session, result: PatchResult, zone: str, state: ZoneState
) -> None:
    if session.is_json:
        session.show_json({"version": result.version, "patch_id": result.patch_id})
    elif result.patch_id:
        session.show_line(f"accepted as version {result.version}")
    else:
        session.show_line(
            f"zone {zone} is {state.value} already, version {result.version}"
        )


def _show_remaining_targets(
    session: Session,
    members: Iterable[MemberStatus],
    document: ConfigurationDocument,
    zone: str,
) -> None:
    for pool, (left, known) in count_remaining_targets(members, document, zone).items():
        session.show_line(f"  pool {pool}: {left} of {known} targets left")


@dataclass
class ZoneChange:
    """Arguments of both commands."""

    zone: Annotated[str, cappa.Arg(help="The availability zone's name.")]
    base: Annotated[
        int | None,
        cappa.Arg(long=True, help="Fail unless this is the current version number."),
    ] = None
    force: Annotated[
        bool, cappa.Arg(long=True, help="Skip the checks for mistakes.")
    ] = False
    wait: Annotated[
        float,
        cappa.Arg(
            long=True,
            help="Seconds to wait until all processes confirm; 0: don't wait.",
        ),
    ] = CONFIRMATION_TIMEOUT_S


@cappa.command(name="out")
@dataclass
class ZoneOut(ZoneChange):
    """Take an availability zone out: no new work goes to it."""

    async def run(self, session: Session) -> ExitCode:
        """Set the zone's state to out."""
        return await set_zone_state(session, self, ZoneState.OUT)


@cappa.command(name="in")
@dataclass
class ZoneIn(ZoneChange):
    """Bring an availability zone back in."""

    async def run(self, session: Session) -> ExitCode:
        """Set the zone's state to in."""
        return await set_zone_state(session, self, ZoneState.IN)


@cappa.command(name="zone")
@dataclass
class Zone:
    """Take availability zones out and bring them back."""

    command: cappa.Subcommands[ZoneOut | ZoneIn]

    async def run(self, session: Session) -> ExitCode:
        """Run the subcommand."""
        return await self.command.run(session)
