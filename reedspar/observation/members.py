"""Events of membership: daemons that join, restart, shut down or are lost."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from reedspar.timeline import EventKind, EventRecorder

__all__ = ["MemberObserver"]


class _Record(Protocol):
    """The attributes of a daemon's record that the observer uses."""

    @property
    def name(self) -> str:
        """Return the daemon's name."""
        ...

    @property
    def zone(self) -> str:
        """Return the daemon's availability zone."""
        ...


class _Member(Protocol):
    """The attributes of a member that the observer uses."""

    @property
    def record(self) -> _Record:
        """Return the member's record."""
        ...

    @property
    def incarnation(self) -> int:
        """Return the member's incarnation; 0 if it is unknown yet."""
        ...

    @property
    def is_leaving(self) -> bool:
        """Return whether the member is shutting down."""
        ...


@dataclass(frozen=True, slots=True)
class _MemberState:
    """State of a member at the last comparison."""

    zone: str
    incarnation: int
    is_leaving: bool


class MemberObserver:
    """Record the differences at each change of the membership view.

    The initial listing is recorded as a single event.  With an event per member, a
    daemon that starts in a fleet of thousands would fill its ring buffer.
    """

    def __init__(
        self, recorder: EventRecorder, list_members: Callable[[], Iterable[_Member]]
    ) -> None:
        self._recorder = recorder
        self._list_members = list_members
        self._known_members: dict[str, _MemberState] = {}

    def handle_change(self) -> None:
        """Compare the view with the previous one, and record the differences."""
        now = {
            member.record.name: _MemberState(
                member.record.zone, member.incarnation, member.is_leaving
            )
            for member in self._list_members()
        }
        if len(self._known_members) <= 1 < len(now):
            self._recorder.record(EventKind.MEMBER_SEEDED, detail=f"{len(now)} daemons")
            self._known_members = now
            return
        for name in self._known_members.keys() - now.keys():
            self._record(EventKind.MEMBER_LOST, name, self._known_members[name])
        for name, member in now.items():
            before = self._known_members.get(name)
            if before != member:
                self._record_changes(name, before, member)
        self._known_members = now

    def _record_changes(
        self, name: str, before: _MemberState | None, now: _MemberState
    ) -> None:
        if before is None:
            self._record(EventKind.MEMBER_JOINED, name, now)
        elif 0 < before.incarnation < now.incarnation:
            self._record(EventKind.MEMBER_RESTARTED, name, now)
        if now.is_leaving and not (before and before.is_leaving):
            self._record(EventKind.MEMBER_LEAVING, name, now)

    def _record(self, kind: EventKind, name: str, member: _MemberState) -> None:
        self._recorder.record(kind, target=name, detail=f"zone {member.zone}")
