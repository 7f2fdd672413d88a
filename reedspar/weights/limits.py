"""Limits of an agent in the distribution, derived from its settings."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from .distribution import WeightPeer
from .messages import PIECE_MAX_BYTES
from .placement import Placement
from .transfers import Transfer
from .views import AgentSettings

__all__ = ["SwarmLimits", "create_swarm_limits"]

REGION_SLOTS_MIN = 2
LOOKAHEAD_MIN_CHUNKS = 4
SLOTS_MAX = 8
PIECE_TRANSMIT_TIME_MAX_S = 0.01
"""Maximum transmission time of a piece on the machine's link.

The target sends its answers over the same link.  Behind a complete chunk of 24 KB they
would wait 54 ms at 3.65 Mbit/s, and several chunks would delay each event."""
PIECE_MIN_BYTES = 4096
SAME_REGION_WINDOW = 5
"""Maximum number of open requests to peers of the same region.

With so many, enough senders are ready when the machine's link has capacity.  The data
in flight is limited in bytes by grants."""
OTHER_REGION_WINDOW = 3
"""Maximum number of open requests to each other region."""
OPEN_ORIGIN_READS_MAX = 4
"""Concurrent origin reads of all agents together; each agent may have at least one.

This number fills the origin's link, so that the fleet obtains as much as possible
before an outage.  With more reads sharing the link, the first chunks would be complete
and passed on later, and all open reads are lost in an outage."""
OTHER_REGION_WAIT_MAX_S = 0.5
"""Maximum wait of a request from another region if all regions read from the origin.

The requester can then try another region: the origin may be unavailable, or an agent
dead."""
QUEUED_REQUESTS_PER_BYTES_PER_S = 1 / 100_000
"""Queued requests at a sender, per byte/s of its link; a queue takes about 0.5 s."""
SAME_REGION_QUEUE_MIN = 5
SAME_REGION_QUEUE_MAX = 64
SAME_CHUNK_REQUESTS_MIN = 2
IN_FLIGHT_PIECES = 8
"""Two for each of four senders: one on the wire, and one in the sender's queue."""
SLOT_LINK_SHARE_MAX = 0.25
"""Maximum share of a machine's link that one slot of a link between regions uses."""


@dataclass(frozen=True, slots=True)
class SwarmLimits:
    """Limits of one agent; rates in bytes per second, times in seconds."""

    origin_region: str
    machine_bytes_per_s: float
    region_bytes_per_s: float
    memory_bytes: int
    copies_per_region: int = 2
    request_timeout_s: float = 3.0
    all_regions_read_origin: bool = False
    """Whether agents of all regions read from the origin."""
    origin_slots: int = SLOTS_MAX
    same_region_window: int = SAME_REGION_WINDOW
    requests_per_peer: int = 2
    """Allows the next request to be queued when a chunk has been sent."""
    other_region_window: int = OTHER_REGION_WINDOW
    stall_timeout_s: float = 0.6
    no_progress_timeout_s: float = 1.0
    map_timeout_s: float = 0.25
    retry_delay_s: float = 0.02
    link_retry_delay_s: float = 0.2
    same_region_wait_limit_s: float = 0.4
    """Maximum wait of a request of the same region for an object being fetched.

    Waiting requests count against the requests that their sender may have open here.
    Without the limit, the sender could not request the other chunks that this agent
    obtains during an origin outage."""
    same_region_queue_limit: int = SAME_REGION_QUEUE_MIN
    """Maximum number of queued requests of the same region; others are refused."""
    same_chunk_limit: int = SAME_CHUNK_REQUESTS_MIN
    """Maximum number of queued requests for one chunk, as its receivers pass it on."""
    piece_bytes: int = PIECE_MAX_BYTES

    @property
    def in_flight_limit_bytes(self) -> int:
        """Return the maximum data in flight from all peers to this agent."""
        return IN_FLIGHT_PIECES * self.piece_bytes

    @property
    def slowest_bytes_per_s(self) -> float:
        """Return the rate of the slowest link, the limit for arriving versions."""
        return min(self.machine_bytes_per_s, self.region_bytes_per_s)

    def wait_limit_s(self, placement: Placement, *, is_same_region: bool) -> float:
        """Return the maximum wait of a peer's request for a chunk being fetched."""
        if is_same_region:
            return self.same_region_wait_limit_s
        return (
            OTHER_REGION_WAIT_MAX_S
            if placement.all_regions_read_origin
            else self.request_timeout_s
        )

    def list_wait_limits_s(
        self, placements: Iterable[Placement], is_same_region: bool
    ) -> list[float]:
        """Return the maximum wait of a peer's request by placement."""
        return [self.wait_limit_s(p, is_same_region=is_same_region) for p in placements]

    def origin_window(self, placement: Placement) -> int:
        """Return the maximum number of concurrent origin reads of this agent."""
        return math.ceil(OPEN_ORIGIN_READS_MAX / max(1, placement.origin_reader_count))

    @property
    def region_slots(self) -> int:
        """Return the number of slots that share each link of a region.

        It is constant if entries are caches: link rates of daemons differ then, but all
        daemons must compute the same number.
        """
        if self.all_regions_read_origin:
            return SLOTS_MAX
        count = self.region_bytes_per_s / (
            self.machine_bytes_per_s * SLOT_LINK_SHARE_MAX
        )
        return min(max(math.ceil(count), REGION_SLOTS_MIN), SLOTS_MAX)

    def create_placement(self, me: WeightPeer) -> Placement:
        """Return the placement of an agent without known peers."""
        return Placement(
            me,
            self.origin_region,
            self.origin_slots,
            self.region_slots,
            all_regions_read_origin=self.all_regions_read_origin,
        )

    def lookahead(self, transfer: Transfer) -> int:
        """Return how many chunks may be fetched ahead of the slowest neighbour."""
        if transfer.size_bytes <= self.memory_bytes // 2:
            return len(transfer.digests)
        return max(
            LOOKAHEAD_MIN_CHUNKS,
            len(transfer.digests) * self.memory_bytes // (2 * transfer.size_bytes),
        )

    def window_end(self, transfer: Transfer, now_s: float) -> int:
        """Return the index of the first chunk that may not be fetched yet.

        If a version exceeds the memory, an agent ahead of its neighbours would evict
        chunks that they still need and would fetch from the origin again.  Agents
        therefore stay within `lookahead` chunks of the slowest active neighbour.
        """
        lookahead = self.lookahead(transfer)
        if lookahead >= len(transfer.digests):
            return lookahead
        first = transfer.first_missing()
        return transfer.table.slowest_position(first, lookahead, now_s) + lookahead


def create_swarm_limits(settings: AgentSettings) -> SwarmLimits:
    """Return the limits for an agent's settings."""
    machine_bytes_per_s = settings.links.machine_bytes_per_s
    queue = round(machine_bytes_per_s * QUEUED_REQUESTS_PER_BYTES_PER_S)
    queue = min(max(queue, SAME_REGION_QUEUE_MIN), SAME_REGION_QUEUE_MAX)
    piece_bytes = max(
        PIECE_MIN_BYTES, round(machine_bytes_per_s * PIECE_TRANSMIT_TIME_MAX_S)
    )
    return SwarmLimits(
        origin_region=settings.weights.origin_region or settings.region,
        machine_bytes_per_s=machine_bytes_per_s,
        region_bytes_per_s=settings.links.region_bytes_per_s,
        memory_bytes=settings.weights.chunk_memory_bytes,
        copies_per_region=settings.weights.copies_per_region,
        request_timeout_s=settings.weights.request_timeout_s,
        all_regions_read_origin=settings.weights.draws_everywhere,
        piece_bytes=min(PIECE_MAX_BYTES, piece_bytes),
        same_region_queue_limit=queue,
        same_chunk_limit=max(SAME_CHUNK_REQUESTS_MIN, queue // 2),
    )
