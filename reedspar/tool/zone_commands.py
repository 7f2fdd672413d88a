"""``reedspar zone out`` and ``zone in``.

Taking a zone out is done at short notice, so the tool guards against the two
slips that hurt: a name that no process has, which would change nothing, and a
zone without which some pool has no target left.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

import cappa

from reedspar.admin import MemberStatus, PatchAccepted
from reedspar.configuration import ConfigurationDocument, ZoneState
from reedspar.errors import Failure, Reason, Step
from reedspar.links.messages import Role

from .confirmation import wait_until_confirmed
from .exit_codes import ExitCode
from .patching import build_request, show_accepted
from .session import Session

__all__ = ["Zone", "check_zone_change", "count_targets_left"]

RACE_TRIES = 5
WAIT_S = 10.0


def count_targets_left(
    members: Iterable[MemberStatus], document: ConfigurationDocument, zone_out: str
) -> dict[str, tuple[int, int]]:
    """Return by pool the targets left with that zone out, and those of all zones."""
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
    """Return why the change is likely a slip, if it is."""
    members = tuple(members)
    zones = {member.zone for member in members}
    if zone not in zones and zone not in document.zones:
        detail = f"no process is in zone {zone}; known: {', '.join(sorted(zones))}"
        return Failure(Reason.INVALID, Step.CONFIGURE, detail=detail)
    if state is ZoneState.IN:
        return None
    left = count_targets_left(members, document, zone)
    empty = [pool for pool, (count, _) in left.items() if count == 0]
    if empty:
        detail = f"no target would be left in: {', '.join(empty)} (--force does it)"
        return Failure(Reason.INVALID, Step.CONFIGURE, detail=detail)
    return None


async def set_zone(
    session: Session,
    zone: str,
    state: ZoneState,
    *,
    base: int | None,
    is_forced: bool,
    wait_s: float,
) -> ExitCode:
    """Patch the zone's state; without `base`, again when others were faster."""
    members = await session.client.list_members()
    if isinstance(members, Failure):
        return session.fail(members)
    for attempt in range(RACE_TRIES):
        document = await session.client.read_configuration()
        if isinstance(document, Failure):
            return session.fail(document)
        slip = check_zone_change(members, document, zone, state)
        if slip and not is_forced:
            return session.fail(slip)
        if document.zones.get(zone, ZoneState.IN) is state and base is None:
            _show_unchanged(session, zone, state, document.version)
            return await _wait(session, document.version, wait_s)
        request = build_request(
            document.version if base is None else base,
            {"zones": {zone: state.value}},
            "",
            f"zone {state.value} {zone}",
        )
        if isinstance(request, Failure):
            return session.fail(request)
        result = await session.client.apply_patch(request)
        if isinstance(result, PatchAccepted):
            show_accepted(session, result, request)
            if state is ZoneState.OUT and not session.is_json:
                _show_left(session, members, document, zone)
            return await _wait(session, result.version, wait_s)
        is_race = result.reason is Reason.CONFLICT and base is None
        if not is_race or attempt == RACE_TRIES - 1:
            return session.fail_patch(result)
    return ExitCode.STALE


def _show_unchanged(
    session: Session, zone: str, state: ZoneState, version: int
) -> None:
    if session.is_json:
        session.show_json({"version": version, "patch_id": None})
    else:
        session.show_line(f"zone {zone} is {state.value} already, version {version}")


def _show_left(
    session: Session,
    members: Iterable[MemberStatus],
    document: ConfigurationDocument,
    zone: str,
) -> None:
    for pool, (left, known) in count_targets_left(members, document, zone).items():
        session.show_line(f"  pool {pool}: {left} of {known} targets left")


async def _wait(session: Session, version: int, wait_s: float) -> ExitCode:
    if wait_s <= 0:
        return ExitCode.OK
    return await wait_until_confirmed(session, version, wait_s)


@dataclass
class ZoneChange:
    """What both commands take."""

    zone: Annotated[str, cappa.Arg(help="The availability zone's name.")]
    base: Annotated[
        int | None,
        cappa.Arg(long=True, help="Refuse unless this is the current number."),
    ] = None
    force: Annotated[bool, cappa.Arg(long=True, help="Skip the checks for slips.")] = (
        False
    )
    wait: Annotated[
        float,
        cappa.Arg(long=True, help="Seconds to wait until all confirmed; 0: not."),
    ] = WAIT_S


@cappa.command(name="out")
@dataclass
class ZoneOut(ZoneChange):
    """Take an availability zone out: no new work goes to it."""

    async def run(self, session: Session) -> ExitCode:
        """Patch the zone out."""
        return await set_zone(
            session,
            self.zone,
            ZoneState.OUT,
            base=self.base,
            is_forced=self.force,
            wait_s=self.wait,
        )


@cappa.command(name="in")
@dataclass
class ZoneIn(ZoneChange):
    """Bring an availability zone back in."""

    async def run(self, session: Session) -> ExitCode:
        """Patch the zone in."""
        return await set_zone(
            session,
            self.zone,
            ZoneState.IN,
            base=self.base,
            is_forced=self.force,
            wait_s=self.wait,
        )


@cappa.command(name="zone")
@dataclass
class Zone:
    """Take availability zones out and bring them back."""

    command: cappa.Subcommands[ZoneOut | ZoneIn]

    async def run(self, session: Session) -> ExitCode:
        """Run the command below."""
        return await self.command.run(session)
