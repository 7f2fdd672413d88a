"""``reedspar targets`` and ``reedspar entries``."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import cappa

from reedspar.admin import DaemonStatus, MemberStatus
from reedspar.configuration import ConfigurationDocument
from reedspar.errors import Failure
from reedspar.links.messages import Role

from .exit_codes import ExitCode
from .fleet_queries import QueryResult, read_fleet
from .session import Session

__all__ = ["Entries", "Targets", "format_version"]

SHOWN_DIGEST_LENGTH = 12
STATE_COLUMN = 2

RowMaker = Callable[[MemberStatus, DaemonStatus], list[str]]


def format_version(
    document: ConfigurationDocument | None, model: str, root_digest: str
) -> str:
    """Return the operator's label for a digest, or the start of the digest."""
    known = document.models.get(model) if document else None
    if known is not None and known.root_digest == root_digest:
        return known.label
    return root_digest[:SHOWN_DIGEST_LENGTH]


def describe_state(status: DaemonStatus) -> str:
    """Return a short name of a daemon's state."""
    if status.is_draining:
        return "draining"
    if not status.is_ready:
        return "not ready"
    return status.agent.target_status if status.agent else "ready"


def format_age(age_s: float | None) -> str:
    """Return the age in seconds, or ``never`` without a confirmation."""
    return "never" if age_s is None else f"{age_s:.1f} s"


def show_fleet(
    session: Session,
    results: list[QueryResult[DaemonStatus]],
    columns: list[str],
    make_row: RowMaker,
) -> ExitCode:
    """Write a row per process, also for unreachable ones."""
    unreachable = [result for result in results if isinstance(result.value, Failure)]
    if session.is_json:
        session.show_json([_to_json(result) for result in results])
    else:
        rows = []
        for result in results:
            member, value = result.member, result.value
            if isinstance(value, Failure):
                blank = [""] * (len(columns) - 3)
                rows.append([member.name, member.zone, "unreachable", *blank])
            else:
                rows.append(make_row(member, value))
        session.show_table(columns, rows)
        states = Counter(row[STATE_COLUMN] for row in rows)
        counts = ", ".join(f"{n} {state}" for state, n in sorted(states.items()))
        session.show_line(f"{len(rows)} in all: {counts}")
        for result in unreachable:
            session.warn(f"reedspar: {result.value}")
    return ExitCode.INCOMPLETE if unreachable else ExitCode.OK


def _to_json(result: QueryResult[DaemonStatus]) -> dict[str, object]:
    document: dict[str, object] = {"member": result.member.model_dump(mode="json")}
    if isinstance(result.value, Failure):
        document["error"] = str(result.value)
    else:
        document["status"] = result.value.model_dump(mode="json")
    return document


@cappa.command(name="targets")
@dataclass
class Targets:
    """List the targets with their state and the versions that they offer."""

    async def run(self, session: Session) -> ExitCode:
        """Query all agents."""
        results = await read_fleet(session.client, Role.AGENT)
        if isinstance(results, Failure):
            return session.report_failure(results)
        found = await session.client.read_configuration()
        document = None if isinstance(found, Failure) else found

        def make_row(member: MemberStatus, status: DaemonStatus) -> list[str]:
            agent = status.agent
            if agent is None:
                return [member.name, member.zone, describe_state(status), *[""] * 5]
            offered = [
                f"{model}={format_version(document, model, digest)}"
                for model, digest in sorted(agent.offered.items())
            ]
            return [
                member.name,
                member.zone,
                describe_state(status),
                agent.pool,
                " ".join(offered),
                f"{agent.in_flight}/{agent.limit}",
                str(agent.queued),
                str(status.config_version),
            ]

        columns = ["target", "zone", "state", "pool", "offered"]
        columns += ["#load", "#queued", "#config"]
        return show_fleet(session, results, columns, make_row)


@cappa.command(name="entries")
@dataclass
class Entries:
    """List the entries with their state and configuration."""

    async def run(self, session: Session) -> ExitCode:
        """Query all entries."""
        results = await read_fleet(session.client, Role.ENTRY)
        if isinstance(results, Failure):
            return session.report_failure(results)
        columns = ["entry", "zone", "state", "#config", "#confirmed"]
        columns += ["#links", "#targets", "#in flight"]
        return show_fleet(session, results, columns, _make_entry_row)


def _make_entry_row(member: MemberStatus, status: DaemonStatus) -> list[str]:
    entry = status.entry
    open_links = sum(link.is_open for link in status.links)
    return [
        member.name,
        member.zone,
        describe_state(status),
        str(status.config_version),
        format_age(status.freshness_age_s),
        f"{open_links}/{len(status.links)}",
        str(entry.target_count) if entry else "",
        str(entry.in_flight) if entry else "",
    ]
