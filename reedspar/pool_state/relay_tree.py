"""To whom an entry passes the state of a collector on."""

from collections.abc import Collection, Sequence

__all__ = ["RELAY_FAN_OUT", "list_receivers"]

RELAY_FAN_OUT = 2
"""Number of entries to which each entry passes a message on.

It bounds what an entry sends, however many entries its region has."""


def list_receivers(
    order: Sequence[str], own_name: str, down: Collection[str]
) -> list[str]:
    """Return the entries to which this entry passes a message on.

    `order` begins with the collector and lists all entries of the region; the entries
    after it receive the message level by level.  The receivers of an entry whose link
    is down are served in its place.
    """
    if own_name not in order:
        return []
    receivers: list[str] = []
    positions = [order.index(own_name)]
    while positions:
        first = RELAY_FAN_OUT * positions.pop() + 1
        for position in range(first, min(first + RELAY_FAN_OUT, len(order))):
            receivers.append(order[position])
            if order[position] in down:
                positions.append(position)
    return receivers
