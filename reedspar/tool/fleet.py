"""Concurrent queries to many daemons, with a failure per unreachable daemon."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

import anyio

from reedspar.admin import AdminClient, DaemonStatus, MemberStatus
from reedspar.errors import Failure
from reedspar.links.messages import Role

__all__ = [
    "MAX_CONCURRENT_QUERIES",
    "Answer",
    "ask_members",
    "member_url",
    "read_fleet",
    "select_role",
]

MAX_CONCURRENT_QUERIES = 64

ValueT = TypeVar("ValueT")


@dataclass(frozen=True, slots=True)
class Answer(Generic[ValueT]):
    """The answer of a daemon, or the failure of the query."""

    member: MemberStatus
    value: ValueT | Failure


def member_url(member: MemberStatus) -> str:
    """Return the URL of the daemon's operators' interface."""
    return f"http://{member.host}:{member.http_port}"


def select_role(members: Iterable[MemberStatus], role: Role) -> list[MemberStatus]:
    """Return the daemons with a role, sorted by name."""
    return sorted((m for m in members if m.role is role), key=lambda m: m.name)


async def ask_members(
    members: Iterable[MemberStatus],
    ask: Callable[[str], Awaitable[ValueT | Failure]],
) -> list[Answer[ValueT]]:
    """Call `ask` with the URL of each daemon, with limited concurrency."""
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_QUERIES)
    answers: list[Answer[ValueT]] = []

    async def run(member: MemberStatus) -> None:
        async with limiter:
            answers.append(Answer(member, await ask(member_url(member))))

    async with anyio.create_task_group() as group:
        for member in members:
            group.start_soon(run, member)
    return sorted(answers, key=lambda answer: answer.member.name)


async def read_fleet(
    client: AdminClient, role: Role | None = None
) -> list[Answer[DaemonStatus]] | Failure:
    """Return the state of all daemons, or of those with a role."""
    members = await client.list_members()
    if isinstance(members, Failure):
        return members
    chosen = members if role is None else select_role(members, role)
    return await ask_members(chosen, client.read_status)
