"""Events of membership: who came, restarted, began to leave, and went."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from reedspar.timeline import EventKind, EventRecorder

__all__ = ["MemberObserver"]


class _Record(Protocol):
    """What is used of an instance's record."""

    @property
    def name(self) -> str:
        """Return the daemon's name."""
        ...

    @property
    def zone(self) -> str:
        """Return its availability zone."""
        ...


class _Member(Protocol):
    """What is used of a member."""

    @property
    def record(self) -> _Record:
        """Return its record."""
        ...

    @property
    def incarnation(self) -> int:
        """Return its incarnation; 0 if not heard of yet."""
        ...

    @property
    def is_leaving(self) -> bool:
        """Tell whether it is leaving."""
        ...


@dataclass(frozen=True, slots=True)
class _Seen:
    zone: str
    incarnation: int
    is_leaving: bool


class MemberObserver:
    """Record the differences each time that the view has changed.

    The first list is one event, however long: a daemon that starts among
    thousands would else fill its ring with what everybody knows.
    """

    def __init__(
        self, recorder: EventRecorder, list_members: Callable[[], Iterable[_Member]]
    ) -> None:
        self._recorder = recorder
        self._list_members = list_members
        self._seen: dict[str, _Seen] = {}

    def handle_change(self) -> None:
        """Compare the view with the one before."""
        now = {
            member.record.name: _Seen(
                member.record.zone, member.incarnation, member.is_leaving
            )
            for member in self._list_members()
        }
        if len(self._seen) <= 1 < len(now):
            self._recorder.record(EventKind.MEMBER_SEEDED, detail=f"{len(now)} daemons")
            self._seen = now
            return
        for name in self._seen.keys() - now.keys():
            self._record(EventKind.MEMBER_LOST, name, self._seen[name])
        for name, member in now.items():
            before = self._seen.get(name)
            if before != member:
                self._note_member(name, before, member)
        self._seen = now

    def _note_member(self, name: str, before: _Seen | None, now: _Seen) -> None:
        if before is None:
            self._record(EventKind.MEMBER_JOINED, name, now)
        elif 0 < before.incarnation < now.incarnation:
            self._record(EventKind.MEMBER_RESTARTED, name, now)
        if now.is_leaving and not (before and before.is_leaving):
            self._record(EventKind.MEMBER_LEAVING, name, now)

    def _record(self, kind: EventKind, name: str, member: _Seen) -> None:
        self._recorder.record(kind, target=name, detail=f"zone {member.zone}")
