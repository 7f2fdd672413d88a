"""Detection of unreachable peers that are still in the view of the fleet."""

__all__ = ["Reachability"]

UNREACHABLE_DURATION_S = 3.0
"""Time for which a peer with a lost link counts as unreachable; equal to a lease."""


class Reachability:
    """Tracks peers as unreachable from a lost link until a message or a timeout.

    The view contains a killed daemon until its lease ends, and longer while the store
    is unavailable.  Until then, no target would receive the chunks assigned to it.
    """

    def __init__(self) -> None:
        self._unreachable_until_s: dict[str, float] = {}

    def __contains__(self, peer: str) -> bool:
        """Return whether a peer is considered reachable."""
        return peer not in self._unreachable_until_s

    def record_lost(self, peer: str, now_s: float) -> None:
        """Record that the link to a peer was lost or refused."""
        self._unreachable_until_s[peer] = now_s + UNREACHABLE_DURATION_S

    def record_message(self, peer: str) -> bool:
        """Record a peer's message; return whether it was considered unreachable."""
        return self._unreachable_until_s.pop(peer, None) is not None

    def expire(self, now_s: float) -> bool:
        """Remove expired entries; return whether there were any."""
        due = [
            peer
            for peer, until_s in self._unreachable_until_s.items()
            if until_s <= now_s
        ]
        for peer in due:
            del self._unreachable_until_s[peer]
        return bool(due)
