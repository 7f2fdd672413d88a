"""Event-driven simulation of rate-limited links with delays and queues."""

import heapq
import itertools
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["EventQueue", "FairLink", "LinkRates", "QueueLink"]


@dataclass(frozen=True, slots=True)
class LinkRates:
    """Rates by kind of link, and one-way delays."""

    machine_bytes_per_s: float
    region_bytes_per_s: float
    origin_bytes_per_s: float
    intra_region_delay_s: float = 0.001
    inter_region_delay_s: float = 0.002


class EventQueue:
    """Virtual time: runs scheduled calls in the order of their times."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def at(self, time_s: float, call: Callable[[], None]) -> None:
        """Schedule a call for a time, or for now if that time has passed."""
        time_s = max(time_s, self.now_s)
        heapq.heappush(self._heap, (time_s, next(self._sequence), call))

    def run(self, is_over: Callable[[], bool], limit_s: float) -> bool:
        """Run until `is_over` returns true; return whether it did within the limit."""
        while self._heap and not is_over():
            if self._heap[0][0] > limit_s:
                self.now_s = max(self.now_s, limit_s)
                return False
            self.now_s, _, call = heapq.heappop(self._heap)
            call()
        return is_over()


class QueueLink:
    """Link that sends messages one at a time, in the order of arrival."""

    def __init__(self, events: EventQueue, bytes_per_s: float) -> None:
        self._events = events
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0
        self.sent_bytes = 0

    def wait_s(self) -> float:
        """Return the queueing delay of a message that arrives now."""
        return max(0.0, self._free_s - self._events.now_s)

    def send(self, size_bytes: int, delay_s: float, call: Callable[[], None]) -> None:
        """Queue a message; run `call` `delay_s` after its last byte is sent."""
        start_s = max(self._events.now_s, self._free_s)
        self._free_s = start_s + size_bytes / self._bytes_per_s
        self.sent_bytes += size_bytes
        self._events.at(self._free_s + delay_s, call)


class FairLink:
    """Link that streams share by sending pieces in turn, like a download server's."""

    def __init__(
        self, events: EventQueue, bytes_per_s: float, piece_bytes: int
    ) -> None:
        self._events = events
        self._bytes_per_s = bytes_per_s
        self._piece_bytes = piece_bytes
        self._queue: deque[tuple[int, Callable[[int, bool], None]]] = deque()
        self._is_busy = False
        self.sent_bytes: Counter[str] = Counter()

    def send(
        self, name: str, size_bytes: int, on_piece: Callable[[int, bool], None]
    ) -> None:
        """Send a stream; call `on_piece` with each piece's size and if it is last."""
        self.sent_bytes[name] += size_bytes
        self._queue.append((size_bytes, on_piece))
        if not self._is_busy:
            self._send_piece()

    def _send_piece(self) -> None:
        if not self._queue:
            self._is_busy = False
            return
        self._is_busy = True
        remaining_bytes, on_piece = self._queue.popleft()
        size_bytes = min(remaining_bytes, self._piece_bytes)
        remaining_bytes -= size_bytes

        def on_sent() -> None:
            on_piece(size_bytes, not remaining_bytes)
            if remaining_bytes:
                self._queue.append((remaining_bytes, on_piece))
            self._send_piece()

        self._events.at(self._events.now_s + size_bytes / self._bytes_per_s, on_sent)
