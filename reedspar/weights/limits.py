"""Bounds and budgets of one agent's part in the distribution."""

import math
from dataclasses import dataclass

from .messages import PIECE_SIZE_BYTES
from .transfers import Transfer
from .views import AgentSettings

__all__ = ["SwarmLimits", "create_swarm_limits"]

SLOTS_MIN = 2
REACH_MIN = 4
SLOTS_MAX = 8
PIECE_TIME_S = 0.02
"""Time that one piece may take of the machine's link.

Answers leave a target over the same link.  Behind a whole chunk of 24 KB they
would wait 54 ms at 3.65 Mbit/s, and several chunks would make each event late.
Half as long, the pieces' own heads would take 4% of the link."""
RELAXED_SHARE = 0.72
"""Part of the download budget that a target takes which is to switch late.

What it leaves goes to those that switch early: they have a version a second sooner,
and serve with it before the late ones stop serving with the older one."""
PIECE_MIN_BYTES = 4096
SLOT_SHARE = 0.25
"""Share of a machine's link that one slot of a narrow link takes at most."""


@dataclass(frozen=True, slots=True)
class SwarmLimits:
    """Rates in bytes a second, times in seconds, counts of open requests."""

    origin_region: str
    machine_bytes_per_s: float
    region_bytes_per_s: float
    memory_bytes: int
    copies_per_region: int = 2
    request_timeout_s: float = 3.0
    origin_slots: int = SLOTS_MAX
    window: int = 6
    requests_per_peer: int = 1
    origin_window: int = 2
    far_window: int = 4
    stall_s: float = 0.6
    seek_s: float = 1.0
    map_wait_s: float = 0.25
    busy_s: float = 0.02
    link_wait_s: float = 0.2
    near_queue: int = 4
    """Requests of the own region that wait for the link; more go elsewhere."""
    same_chunk: int = 2
    """Requests for one chunk that wait at a time: the first receivers hand it on."""
    piece_bytes: int = PIECE_SIZE_BYTES
    download_share: float = 1.0
    """Downloads as a part of the machine's budget, which is for uploads.

    Answers leave over the same link as uploads; little else comes in."""

    @property
    def download_burst_bytes(self) -> int:
        """Return how far requests may run ahead of the machine's link."""
        return 32 * self.piece_bytes

    @property
    def slowest_bytes_per_s(self) -> float:
        """Return the rate at which a copy can come at most."""
        return min(self.machine_bytes_per_s, self.region_bytes_per_s)

    @property
    def patience_s(self) -> float:
        """Return how long a request waits here for an object that is coming."""
        return 4 * self.request_timeout_s

    @property
    def region_slots(self) -> int:
        """Return how many agents of a region draw over each of its links."""
        count = self.region_bytes_per_s / (self.machine_bytes_per_s * SLOT_SHARE)
        return min(max(math.ceil(count), SLOTS_MIN), SLOTS_MAX)

    def reach(self, transfer: Transfer) -> int:
        """Return how many chunks ahead of the slowest neighbour may be got."""
        if transfer.size_bytes <= self.memory_bytes // 2:
            return len(transfer.digests)
        return max(
            REACH_MIN,
            len(transfer.digests) * self.memory_bytes // (2 * transfer.size_bytes),
        )

    def limit(self, transfer: Transfer, now_s: float) -> int:
        """Return the first chunk that may not be got yet.

        Where the memory holds less than a copy, an agent that ran ahead would
        evict what its neighbours still need, and they would ask for it again
        at the origin.  So all stay within reach of the slowest that gets on.
        """
        reach = self.reach(transfer)
        if reach >= len(transfer.digests):
            return reach
        first = transfer.first_missing()
        return transfer.table.slowest(first, reach, now_s) + reach


def create_swarm_limits(settings: AgentSettings) -> SwarmLimits:
    """Return the limits that the settings ask for."""
    machine_bytes_per_s = settings.links.machine_bytes_per_s
    piece_bytes = max(PIECE_MIN_BYTES, round(machine_bytes_per_s * PIECE_TIME_S))
    return SwarmLimits(
        origin_region=settings.weights.origin_region or settings.region,
        machine_bytes_per_s=machine_bytes_per_s,
        region_bytes_per_s=settings.links.region_bytes_per_s,
        memory_bytes=settings.weights.chunk_memory_bytes,
        copies_per_region=settings.weights.copies_per_region,
        request_timeout_s=settings.weights.request_timeout_s,
        piece_bytes=min(PIECE_SIZE_BYTES, piece_bytes),
    )
