"""Intervals at which daemons poll the instance list, and changes between two reads."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from reedspar.platform import InstanceRecord, InstanceState
from reedspar.utils import rank_by_rendezvous

from .messages import MemberNotice, NoticeKind, make_notice

__all__ = ["InstanceListTracker", "is_frequent_poller", "poll_interval_s"]

RECORD_SIZE_BYTES = 200
FREQUENT_POLLERS_PER_ZONE = 2
FREQUENT_POLLER_MAX_BYTES_PER_S = 4000
"""Limit of a frequent poller's traffic for reading the list; it gossips the changes."""
OTHER_DAEMON_MAX_BYTES_PER_S = 1000
"""The same limit for other daemons, whose reads repair the effect of lost notices."""


def is_frequent_poller(own: InstanceRecord, zone_members: Iterable[str]) -> bool:
    """Return whether this daemon polls often for its zone and gossips the changes."""
    ranked = rank_by_rendezvous(f"membership/poll/{own.zone}", zone_members)
    return own.name in ranked[:FREQUENT_POLLERS_PER_ZONE]


def poll_interval_s(
    min_interval_s: float, record_count: int, is_frequent: bool
) -> float:
    """Return the interval between two reads that keeps within the traffic limit.

    Each read transfers the whole list, so its size grows with the fleet while the limit
    of a daemon does not.
    """
    max_bytes_per_s = (
        FREQUENT_POLLER_MAX_BYTES_PER_S if is_frequent else OTHER_DAEMON_MAX_BYTES_PER_S
    )
    return max(min_interval_s, record_count * RECORD_SIZE_BYTES / max_bytes_per_s)


@dataclass(slots=True)
class InstanceListTracker:
    """Compares each read of the list with the previous one, not with the view.

    The lists of frequent pollers lag differently.  If they were compared with the view,
    a poller with an older list would restore daemons that another has seen removed, and
    the view would flap.
    """

    _previous: dict[str, InstanceRecord] = field(default_factory=dict)
    _has_read: bool = False

    def update(
        self, records: Iterable[InstanceRecord], observed_ms: int
    ) -> list[MemberNotice]:
        """Return notices of the changes since the last read; none on the first."""
        listed = {record.name: record for record in records}
        previous, self._previous = self._previous, listed
        if not self._has_read:
            self._has_read = True
            return []
        notices = []
        for name, record in listed.items():
            old = previous.get(name)
            if old is None:
                kind = NoticeKind.JOINED
            elif old.state is not record.state:
                is_leaving = record.state is InstanceState.LEAVING
                kind = NoticeKind.LEAVING if is_leaving else NoticeKind.JOINED
            else:
                continue
            notices.append(make_notice(kind, record, 0, observed_ms))
        for name in previous.keys() - listed.keys():
            kind = NoticeKind.REMOVED
            notices.append(make_notice(kind, previous[name], 0, observed_ms))
        return notices
