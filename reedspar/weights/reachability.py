"""Which peers are taken for gone though the view of the fleet keeps them."""

__all__ = ["Reachability"]

UNREACHABLE_S = 3.0
"""How long a peer is taken for gone to which a link was lost: as long as a lease."""


class Reachability:
    """The peers to which a link was lost, until they are heard of again.

    The view keeps a daemon that was killed until its lease ends, and longer while the
    store is away.  What it was to draw would reach no target all that time.
    """

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def __contains__(self, peer: str) -> bool:
        """Tell whether a peer can be reached as far as is known."""
        return peer not in self._until_s

    def note_lost(self, peer: str, now_s: float) -> None:
        """Note that the link to a peer is gone, or was refused."""
        self._until_s[peer] = now_s + UNREACHABLE_S

    def note_heard(self, peer: str) -> bool:
        """Note a peer's message; tell whether it was taken for gone."""
        return self._until_s.pop(peer, None) is not None

    def expire(self, now_s: float) -> bool:
        """Try peers again; tell whether there are any."""
        due = [peer for peer, until_s in self._until_s.items() if until_s <= now_s]
        for peer in due:
            del self._until_s[peer]
        return bool(due)
