"""Exchange of demands, target loads and entries' pressure, without a central part.

In each region two entries, found by rendezvous hashing, collect what the entries of the
region and the agents tell, exchange sums with the other regions, and pass the whole on
to their region in bounded messages.
"""

from .exchange import NoDemands, PoolStateExchange, create_pool_state_exchange
from .interfaces import (
    EntryContribution,
    EntrySource,
    PressureBoard,
    TargetLoadListener,
    TargetLoadRow,
)
from .messages import LoadSubscription, register_messages

__all__ = [
    "EntryContribution",
    "EntrySource",
    "LoadSubscription",
    "NoDemands",
    "PoolStateExchange",
    "PressureBoard",
    "TargetLoadListener",
    "TargetLoadRow",
    "create_pool_state_exchange",
    "register_messages",
]
