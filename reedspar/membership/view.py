"""View of the known daemons: the lagging instance list, overridden by direct evidence.

Precedence of evidence, strongest first: an open link; a daemon's own notice or newer
incarnation; a refused dial; the instance list.  A silent link is no evidence, as the
process may be paused and resume later.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from reedspar.platform import InstanceRecord, InstanceState

from .messages import MemberNotice, NoticeKind

__all__ = ["Member", "MembershipView"]

REFUSED_DIAL_TTL_S = 15.0
"""How long a refused dial makes a daemon ineligible, unless it connects or joins."""
JOIN_PRECEDENCE_S = 120.0
"""How long a daemon's join overrides an instance list that lacks the daemon."""
MEMBERS_MAX = 10_000


@dataclass(slots=True)
class Member:
    """A known daemon and the evidence about its state."""

    record: InstanceRecord
    is_listed: bool = False
    is_listed_leaving: bool = False
    observed_ms: int = 0
    """Observer's wall clock in the latest notice from the instance list."""
    incarnation: int = 0
    """Newest known incarnation; 0 if unknown."""
    leaving_incarnation: int = -1
    """Incarnation that has announced that it is leaving; -1 if none has."""
    has_link: bool = False
    refused_s: float = float("-inf")
    """When a dial was last refused; reset when the daemon connects or joins."""
    joined_s: float = float("-inf")
    """When a notice that it joined was last applied; reset by a refused dial."""

    @property
    def is_leaving(self) -> bool:
        """Return whether this incarnation has announced or is listed as leaving."""
        if self.leaving_incarnation >= 0:
            return self.leaving_incarnation >= self.incarnation
        return self.is_listed_leaving


@dataclass(slots=True)
class MembershipView:
    """Combines evidence to decide which daemons may be alive and which are eligible."""

    own: InstanceRecord
    is_initialized: bool = False
    _members: dict[str, Member] = field(default_factory=dict)
    _listeners: list[Callable[[], None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._members[self.own.name] = Member(self.own, is_listed=True, has_link=True)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the known daemons."""
        self._listeners.append(listener)

    def member(self, name: str) -> Member | None:
        """Return a daemon, None if it is unknown."""
        return self._members.get(name)

    def members(self) -> tuple[Member, ...]:
        """Return every daemon that may be alive, this one included."""
        return tuple(self._members.values())

    def list_eligible(self, role: str, now_s: float) -> tuple[InstanceRecord, ...]:
        """Return the daemons of a role that may be given work, sorted by name."""
        return tuple(
            member.record
            for _, member in sorted(self._members.items())
            if member.record.role == role
            and not member.is_leaving
            and (member.has_link or now_s - member.refused_s > REFUSED_DIAL_TTL_S)
        )

    def list_dialable(self, role: str) -> tuple[InstanceRecord, ...]:
        """Return the daemons of a role that may be dialled, even if they refused."""
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

    def apply_list(self, records: Iterable[InstanceRecord], now_s: float) -> None:
        """Apply the instance list."""
        listed = {record.name: record for record in records}
        is_changed = not self.is_initialized
        self.is_initialized = True
        for name, record in listed.items():
            if name != self.own.name:
                is_changed |= self._apply_listed(record)
        for name in self._members.keys() - listed.keys() - {self.own.name}:
            member = self._members[name]
            is_changed |= member.is_listed
            member.is_listed = False
            is_changed |= self._drop_if_gone(name, now_s)
        self._notify_listeners(is_changed)

    def apply_notice(self, notice: MemberNotice, now_s: float) -> bool:
        """Apply a notice; return whether it was new and should be passed on."""
        if notice.name == self.own.name:
            return False
        member = self._members.get(notice.name)
        if member is not None and self._is_stale(member, notice):
            return False
        if notice.kind is NoticeKind.REMOVED:
            is_changed = self._apply_removed(member, notice, now_s)
        elif notice.kind is NoticeKind.LEAVING:
            is_changed = self._apply_leaving(member, notice)
        else:
            is_changed = self._apply_joined(member, notice, now_s)
        self._notify_listeners(is_changed)
        return is_changed

    def mark_own_leaving(self, incarnation: int) -> None:
        """Record that this daemon stops soon, so that it is no longer eligible."""
        member = self._members[self.own.name]
        member.incarnation = member.leaving_incarnation = incarnation
        self._notify_listeners(True)

    def record_link_up(self, name: str, incarnation: int) -> None:
        """Record that a link to a daemon is open."""
        member = self._members.get(name)
        if member is None or name == self.own.name:
            return
        is_changed = not member.has_link or incarnation > member.incarnation
        member.has_link = True
        member.refused_s = float("-inf")
        member.incarnation = max(member.incarnation, incarnation)
        self._notify_listeners(is_changed)

    def record_link_down(self, name: str, now_s: float) -> None:
        """Record that the last link to a daemon was closed or has timed out."""
        member = self._members.get(name)
        if member is None or name == self.own.name or not member.has_link:
            return
        member.has_link = False
        self._drop_if_gone(name, now_s)
        self._notify_listeners(True)

    def record_refused_dial(self, name: str, now_s: float) -> None:
        """Record that a daemon's machine has refused a connection."""
        member = self._members.get(name)
        if member is None or name == self.own.name or member.has_link:
            return
        is_changed = now_s - member.refused_s > REFUSED_DIAL_TTL_S
        member.refused_s = now_s
        member.joined_s = float("-inf")
        is_changed |= self._drop_if_gone(name, now_s)
        self._notify_listeners(is_changed)

    def record_incarnation(self, name: str, incarnation: int) -> None:
        """Record the incarnation in the sender header of a frame."""
        member = self._members.get(name)
        if member is None or incarnation <= member.incarnation:
            return
        was_leaving = member.is_leaving
        member.incarnation = incarnation
        self._notify_listeners(was_leaving != member.is_leaving)

    def _apply_listed(self, record: InstanceRecord) -> bool:
        member = self._members.get(record.name)
        if member is None:
            if len(self._members) >= MEMBERS_MAX:
                return False
            member = self._members[record.name] = Member(record)
        is_listed_leaving = record.state is InstanceState.LEAVING
        is_changed = (member.record, member.is_listed, member.is_listed_leaving) != (
            record,
            True,
            is_listed_leaving,
        )
        member.record = record
        member.is_listed = True
        member.is_listed_leaving = is_listed_leaving
        return is_changed

    def _is_stale(self, member: Member, notice: MemberNotice) -> bool:
        """Return whether newer evidence of the same kind is known.

        Notices from the instance list are ordered by the observers' wall clocks, a
        daemon's own notices by its incarnation, independent of its clock.
        """
        if notice.incarnation:
            return notice.incarnation < member.incarnation
        return notice.observed_ms <= member.observed_ms

    def _apply_removed(
        self, member: Member | None, notice: MemberNotice, now_s: float
    ) -> bool:
        if member is None:
            return False
        was_listed = member.is_listed
        member.observed_ms = max(member.observed_ms, notice.observed_ms)
        member.is_listed = False
        return self._drop_if_gone(notice.name, now_s) or was_listed

    def _apply_leaving(self, member: Member | None, notice: MemberNotice) -> bool:
        if member is None:
            return False
        was_leaving = member.is_leaving
        if notice.incarnation:
            member.incarnation = notice.incarnation
            member.leaving_incarnation = notice.incarnation
        else:
            member.observed_ms = notice.observed_ms
            member.is_listed_leaving = True
        return member.is_leaving and not was_leaving

    def _apply_joined(
        self, member: Member | None, notice: MemberNotice, now_s: float
    ) -> bool:
        """Apply a join; the join of a daemon that is listed as running is not new.

        Otherwise a start of the whole fleet would send a notice about every daemon to
        every daemon.
        """
        is_new = (
            member is None
            or member.is_leaving
            or not (member.is_listed or member.has_link)
            or now_s - member.refused_s <= REFUSED_DIAL_TTL_S
        )
        if member is None:
            if len(self._members) >= MEMBERS_MAX:
                return False
            member = self._members[notice.name] = Member(notice.record)
        if notice.incarnation:
            is_new &= notice.incarnation > member.incarnation
            member.incarnation = notice.incarnation
            member.refused_s = float("-inf")
        else:
            member.observed_ms = notice.observed_ms
            member.is_listed = True
            member.is_listed_leaving = False
        if is_new:
            member.record = notice.record
            member.joined_s = now_s
        return is_new

    def _drop_if_gone(self, name: str, now_s: float) -> bool:
        member = self._members[name]
        if member.is_listed or member.has_link:
            return False
        if now_s - member.joined_s < JOIN_PRECEDENCE_S:
            return False
        del self._members[name]
        return True

    def _notify_listeners(self, is_changed: bool) -> None:
        if is_changed:
            for listener in self._listeners:
                listener()
