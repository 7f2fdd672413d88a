"""Concurrent queries to many daemons, with a failure per unreachable daemon."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

import anyio

from reedspar.admin import AdminClient, DaemonStatus, MemberStatus
from reedspar.errors import Failure
from reedspar.links.messages import Role

__all__ = [
    "CONCURRENT_QUERIES_MAX",
    "QueryResult",
    "member_url",
    "query_members",
    "read_fleet",
    "select_role",
]

CONCURRENT_QUERIES_MAX = 64

ValueT = TypeVar("ValueT")


@dataclass(frozen=True, slots=True)
class QueryResult(Generic[ValueT]):
    """A daemon's response, or the failure of the query."""

    member: MemberStatus
    value: ValueT | Failure


def member_url(member: MemberStatus) -> str:
    """Return the URL of the daemon's operators' interface."""
    return f"http://{member.host}:{member.http_port}"


def select_role(members: Iterable[MemberStatus], role: Role) -> list[MemberStatus]:
    """Return the daemons with a role, sorted by name."""
    return sorted((m for m in members if m.role is role), key=lambda m: m.name)


async def query_members(
    members: Iterable[MemberStatus],
    query: Callable[[str], Awaitable[ValueT | Failure]],
) -> list[QueryResult[ValueT]]:
    """Call `query` with the URL of each daemon, with limited concurrency."""
    limiter = anyio.CapacityLimiter(CONCURRENT_QUERIES_MAX)
    results: list[QueryResult[ValueT]] = []

    async def run(member: MemberStatus) -> None:
        async with limiter:
            results.append(QueryResult(member, await query(member_url(member))))

    async with anyio.create_task_group() as group:
        for member in members:
            group.start_soon(run, member)
    return sorted(results, key=lambda result: result.member.name)


async def read_fleet(
    client: AdminClient, role: Role | None = None
) -> list[QueryResult[DaemonStatus]] | Failure:
    """Return the state of all daemons, or of those with a role."""
    members = await client.list_members()
    if isinstance(members, Failure):
        return members
    chosen = members if role is None else select_role(members, role)
    return await query_members(chosen, client.read_status)
