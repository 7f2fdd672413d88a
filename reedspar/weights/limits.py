"""Bounds and budgets of one agent's part in the distribution."""

import math
from dataclasses import dataclass

from .distribution import WeightPeer
from .messages import PIECE_SIZE_BYTES
from .placement import Placement
from .transfers import Transfer
from .views import AgentSettings

__all__ = ["SwarmLimits", "create_swarm_limits"]

SLOTS_MIN = 2
REACH_MIN = 4
SLOTS_MAX = 8
PIECE_TIME_S = 0.01
"""Time that one piece may take of the machine's link.

Answers leave a target over the same link.  Behind a whole chunk of 24 KB they
would wait 54 ms at 3.65 Mbit/s, and several chunks would make each event late."""
PIECE_MIN_BYTES = 4096
WINDOW = 5
"""Chunks asked of neighbours at a time: so many senders are ready to go on when the
machine's link has room.  What is under way is bounded in bytes, by grants."""
FAR_WINDOW = 3
ORIGIN_READS = 4
"""Chunks that all agents together read at the origin at a time, at least one each.

So many fill the origin's link, which may go away: what the fleet has then is all that
it can go on with.  More would share the link, and the first chunks be whole, and handed
on, later.  All that are open are lost when the origin goes away."""
FAR_PATIENCE_S = 0.5
"""How long a request of another region waits, where agents of all regions draw.

The asker can turn to another region then: the origin may be away, or an agent gone."""
QUEUED_PER_BYTES_PER_S = 1 / 100_000
"""Requests that wait at a sender, by its link: each is worked off in half a second."""
QUEUE_MIN = 5
QUEUE_MAX = 64
SAME_CHUNK = 2
UNDER_WAY_PIECES = 8
"""Two at each of four senders: one on its way, one that waits for the sender's link."""
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
    draws_everywhere: bool = False
    """Agents of all regions draw from the origin."""
    origin_slots: int = SLOTS_MAX
    window: int = WINDOW
    requests_per_peer: int = 2
    """So that the next one is there when a chunk has gone out."""
    far_window: int = FAR_WINDOW
    stall_s: float = 0.6
    seek_s: float = 1.0
    map_wait_s: float = 0.25
    busy_s: float = 0.02
    link_wait_s: float = 0.2
    near_patience_s: float = 0.4
    """How long a request of the own region waits here for an object that is coming.

    Those that wait take up what their sender may ask of this agent: while the origin is
    away it could not ask for the chunks that come."""
    near_queue: int = QUEUE_MIN
    """Requests of the own region that wait for the link; more go elsewhere."""
    same_chunk: int = SAME_CHUNK
    """Requests for one chunk that wait at a time: the first receivers hand it on."""
    piece_bytes: int = PIECE_SIZE_BYTES

    @property
    def under_way_bytes(self) -> int:
        """Return what peers together may have under way to this agent."""
        return UNDER_WAY_PIECES * self.piece_bytes

    @property
    def slowest_bytes_per_s(self) -> float:
        """Return the rate at which a copy can come at most."""
        return min(self.machine_bytes_per_s, self.region_bytes_per_s)

    def patience_s(self, placement: Placement, *, is_near: bool) -> float:
        """Return how long a request waits here for a chunk that is coming."""
        if is_near:
            return self.near_patience_s
        return FAR_PATIENCE_S if placement.draws_everywhere else self.request_timeout_s

    def origin_window(self, placement: Placement) -> int:
        """Return how many chunks may be read at the origin at a time."""
        return math.ceil(ORIGIN_READS / max(1, placement.origin_drawers))

    @property
    def region_slots(self) -> int:
        """Return how many agents of a region draw over each of its links.

        Where entries hold copies their links differ, and all daemons must reckon alike.
        """
        if self.draws_everywhere:
            return SLOTS_MAX
        count = self.region_bytes_per_s / (self.machine_bytes_per_s * SLOT_SHARE)
        return min(max(math.ceil(count), SLOTS_MIN), SLOTS_MAX)

    def place(self, me: WeightPeer) -> Placement:
        """Return the placement of an agent that knows no others yet."""
        return Placement(
            me,
            self.origin_region,
            self.origin_slots,
            self.region_slots,
            draws_everywhere=self.draws_everywhere,
        )

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
    queue = round(machine_bytes_per_s * QUEUED_PER_BYTES_PER_S)
    queue = min(max(queue, QUEUE_MIN), QUEUE_MAX)
    piece_bytes = max(PIECE_MIN_BYTES, round(machine_bytes_per_s * PIECE_TIME_S))
    return SwarmLimits(
        origin_region=settings.weights.origin_region or settings.region,
        machine_bytes_per_s=machine_bytes_per_s,
        region_bytes_per_s=settings.links.region_bytes_per_s,
        memory_bytes=settings.weights.chunk_memory_bytes,
        copies_per_region=settings.weights.copies_per_region,
        request_timeout_s=settings.weights.request_timeout_s,
        draws_everywhere=settings.weights.draws_everywhere,
        piece_bytes=min(PIECE_SIZE_BYTES, piece_bytes),
        near_queue=queue,
        same_chunk=max(SAME_CHUNK, queue // 2),
    )
