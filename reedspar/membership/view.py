"""Which daemons there are: the lagging instance list, overridden by direct evidence.

Precedence, strongest first: a link that is open; a daemon's own notice, or a
newer incarnation of it; a refused dial; the instance list.  A silent link is
no evidence at all: the process may be stopped and will go on.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from reedspar.platform import InstanceRecord, InstanceState

from .messages import MemberNotice, NoticeKind

__all__ = ["Member", "MembershipView"]

REFUSED_TTL_S = 15.0
"""A refused dial keeps a daemon out of choice this long, unless it shows itself."""
LIST_OVERRIDE_S = 120.0
"""How long a daemon's own word of joining goes before a list that lacks it."""
MAX_MEMBERS = 10_000


@dataclass(slots=True)
class Member:
    """What is known of one daemon."""

    record: InstanceRecord
    is_listed: bool = False
    is_list_leaving: bool = False
    observed_ms: int = 0
    incarnation: int = 0
    leaving_incarnation: int = -1
    has_link: bool = False
    refused_s: float = float("-inf")
    joined_s: float = float("-inf")

    @property
    def is_leaving(self) -> bool:
        """Tell whether this incarnation has said, or is listed, to be leaving."""
        if self.leaving_incarnation >= 0:
            return self.leaving_incarnation >= self.incarnation
        return self.is_list_leaving


@dataclass(slots=True)
class MembershipView:
    """Takes in evidence and answers who may be alive and who may be chosen."""

    own: InstanceRecord
    is_initialized: bool = False
    _members: dict[str, Member] = field(default_factory=dict)
    _listeners: list[Callable[[], None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._members[self.own.name] = Member(self.own, is_listed=True, has_link=True)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of who is there."""
        self._listeners.append(listener)

    def member(self, name: str) -> Member | None:
        """Return what is known of a daemon."""
        return self._members.get(name)

    def members(self) -> tuple[Member, ...]:
        """Return every daemon that may be alive, this one included."""
        return tuple(self._members.values())

    def choosable(self, role: str, now_s: float) -> tuple[InstanceRecord, ...]:
        """Return the daemons of a role that may be given something new, by name."""
        return tuple(
            member.record
            for _, member in sorted(self._members.items())
            if member.record.role == role
            and not member.is_leaving
            and (member.has_link or now_s - member.refused_s > REFUSED_TTL_S)
        )

    def dialable(self, role: str) -> tuple[InstanceRecord, ...]:
        """Return the daemons of a role that are worth a dial, refused ones too."""
        return tuple(
            member.record
            for _, member in sorted(self._members.items())
            if member.record.role == role and not member.is_leaving
        )

    def zones(self) -> frozenset[str]:
        """Return every zone that may hold a daemon."""
        return frozenset(member.record.zone for member in self._members.values())

    def zone_members(self, zone: str) -> tuple[str, ...]:
        """Return the names of the daemons in a zone that are not leaving."""
        return tuple(
            name
            for name, member in self._members.items()
            if member.record.zone == zone and not member.is_leaving
        )

    def note_list(self, records: Iterable[InstanceRecord], now_s: float) -> None:
        """Take in the instance list."""
        listed = {record.name: record for record in records}
        is_changed = not self.is_initialized
        self.is_initialized = True
        for name, record in listed.items():
            if name != self.own.name:
                is_changed |= self._note_listed(record)
        for name in self._members.keys() - listed.keys() - {self.own.name}:
            member = self._members[name]
            is_changed |= member.is_listed
            member.is_listed = False
            is_changed |= self._drop_if_gone(name, now_s)
        self._tell(is_changed)

    def note_notice(self, notice: MemberNotice, now_s: float) -> bool:
        """Take in news; tell whether it was news and should be passed on."""
        if notice.name == self.own.name:
            return False
        member = self._members.get(notice.name)
        if member is not None and self._is_stale(member, notice):
            return False
        if notice.kind is NoticeKind.REMOVED:
            is_changed = self._note_removed(member, notice, now_s)
        elif notice.kind is NoticeKind.LEAVING:
            is_changed = self._note_leaving(member, notice)
        else:
            is_changed = self._note_joined(member, notice, now_s)
        self._tell(is_changed)
        return is_changed

    def note_own_leaving(self, incarnation: int) -> None:
        """Take in that this daemon stops soon, so that it is named no more."""
        member = self._members[self.own.name]
        member.incarnation = member.leaving_incarnation = incarnation
        self._tell(True)

    def note_link_up(self, name: str, incarnation: int) -> None:
        """Take in that a link to a daemon is open."""
        member = self._members.get(name)
        if member is None or name == self.own.name:
            return
        is_changed = not member.has_link or incarnation > member.incarnation
        member.has_link = True
        member.refused_s = float("-inf")
        member.incarnation = max(member.incarnation, incarnation)
        self._tell(is_changed)

    def note_link_down(self, name: str, now_s: float) -> None:
        """Take in that the last link to a daemon has closed or gone silent."""
        member = self._members.get(name)
        if member is None or name == self.own.name or not member.has_link:
            return
        member.has_link = False
        self._drop_if_gone(name, now_s)
        self._tell(True)

    def note_refused_dial(self, name: str, now_s: float) -> None:
        """Take in that the daemon's machine answered that nothing listens there."""
        member = self._members.get(name)
        if member is None or name == self.own.name or member.has_link:
            return
        is_changed = now_s - member.refused_s > REFUSED_TTL_S
        member.refused_s = now_s
        member.joined_s = float("-inf")
        is_changed |= self._drop_if_gone(name, now_s)
        self._tell(is_changed)

    def note_incarnation(self, name: str, incarnation: int) -> None:
        """Take in the incarnation that a frame has shown."""
        member = self._members.get(name)
        if member is None or incarnation <= member.incarnation:
            return
        was_leaving = member.is_leaving
        member.incarnation = incarnation
        self._tell(was_leaving != member.is_leaving)

    def _note_listed(self, record: InstanceRecord) -> bool:
        member = self._members.get(record.name)
        if member is None:
            if len(self._members) >= MAX_MEMBERS:
                return False
            member = self._members[record.name] = Member(record)
        is_list_leaving = record.state is InstanceState.LEAVING
        is_changed = (member.record, member.is_listed, member.is_list_leaving) != (
            record,
            True,
            is_list_leaving,
        )
        member.record = record
        member.is_listed = True
        member.is_list_leaving = is_list_leaving
        return is_changed

    def _is_stale(self, member: Member, notice: MemberNotice) -> bool:
        """Tell whether newer evidence of the same sort is known.

        Wall clocks order what observers read from the instance list; a
        daemon's own word is ordered by its incarnation, whatever its clock.
        """
        if notice.incarnation:
            return notice.incarnation < member.incarnation
        return notice.observed_ms <= member.observed_ms

    def _note_removed(
        self, member: Member | None, notice: MemberNotice, now_s: float
    ) -> bool:
        if member is None:
            return False
        was_listed = member.is_listed
        member.observed_ms = max(member.observed_ms, notice.observed_ms)
        member.is_listed = False
        return self._drop_if_gone(notice.name, now_s) or was_listed

    def _note_leaving(self, member: Member | None, notice: MemberNotice) -> bool:
        if member is None:
            return False
        was_leaving = member.is_leaving
        if notice.incarnation:
            member.incarnation = notice.incarnation
            member.leaving_incarnation = notice.incarnation
        else:
            member.observed_ms = notice.observed_ms
            member.is_list_leaving = True
        return member.is_leaving and not was_leaving

    def _note_joined(
        self, member: Member | None, notice: MemberNotice, now_s: float
    ) -> bool:
        """Take in a start; that a listed daemon runs as listed is no news.

        Otherwise a start of the whole fleet would send word of every daemon
        to every daemon.
        """
        is_news = (
            member is None
            or member.is_leaving
            or not (member.is_listed or member.has_link)
            or now_s - member.refused_s <= REFUSED_TTL_S
        )
        if member is None:
            if len(self._members) >= MAX_MEMBERS:
                return False
            member = self._members[notice.name] = Member(notice.record)
        if notice.incarnation:
            is_news &= notice.incarnation > member.incarnation
            member.incarnation = notice.incarnation
            member.refused_s = float("-inf")
        else:
            member.observed_ms = notice.observed_ms
            member.is_listed = True
            member.is_list_leaving = False
        if is_news:
            member.record = notice.record
            member.joined_s = now_s
        return is_news

    def _drop_if_gone(self, name: str, now_s: float) -> bool:
        member = self._members[name]
        if member.is_listed or member.has_link:
            return False
        if now_s - member.joined_s < LIST_OVERRIDE_S:
            return False
        del self._members[name]
        return True

    def _tell(self, is_changed: bool) -> None:
        if is_changed:
            for listener in self._listeners:
                listener()
