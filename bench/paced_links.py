"""Links on virtual time: an event-driven fake with a rate, a delay and a queue each."""

import heapq
import itertools
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["Events", "FairLink", "LinkRates", "QueueLink"]


@dataclass(frozen=True, slots=True)
class LinkRates:
    """Bytes a second of each kind of link, and one-way delays in seconds."""

    machine: float
    region: float
    origin: float
    near_delay_s: float = 0.001
    far_delay_s: float = 0.002


class Events:
    """Calls in the order of their times."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._orders = itertools.count()

    def at(self, time_s: float, call: Callable[[], None]) -> None:
        """Call at a time, or now if it is past."""
        time_s = max(time_s, self.now_s)
        heapq.heappush(self._heap, (time_s, next(self._orders), call))

    def run(self, is_over: Callable[[], bool], limit_s: float) -> bool:
        """Run until it is over; False if the time limit came first."""
        while self._heap and not is_over():
            if self._heap[0][0] > limit_s:
                self.now_s = max(self.now_s, limit_s)
                return False
            self.now_s, _, call = heapq.heappop(self._heap)
            call()
        return is_over()


class QueueLink:
    """Sends one message after the other."""

    def __init__(self, events: Events, rate: float) -> None:
        self._events = events
        self._rate = rate
        self._free_s = 0.0
        self.sent_bytes = 0

    def wait_s(self) -> float:
        """Return how long a message would wait that came now."""
        return max(0.0, self._free_s - self._events.now_s)

    def send(self, size_bytes: int, delay_s: float, call: Callable[[], None]) -> None:
        """Call once the message has gone over the link."""
        start_s = max(self._events.now_s, self._free_s)
        self._free_s = start_s + size_bytes / self._rate
        self.sent_bytes += size_bytes
        self._events.at(self._free_s + delay_s, call)


class FairLink:
    """Shares its rate among streams, piece by piece, as a server of downloads does."""

    def __init__(self, events: Events, rate: float, piece_bytes: int) -> None:
        self._events = events
        self._rate = rate
        self._piece_bytes = piece_bytes
        self._streams: deque[tuple[int, Callable[[int, bool], None]]] = deque()
        self._is_busy = False
        self.sent_bytes: Counter[str] = Counter()

    def send(
        self, name: str, size_bytes: int, on_piece: Callable[[int, bool], None]
    ) -> None:
        """Call `on_piece` with the size of each piece, and whether it is the last."""
        self.sent_bytes[name] += size_bytes
        self._streams.append((size_bytes, on_piece))
        if not self._is_busy:
            self._serve()

    def _serve(self) -> None:
        if not self._streams:
            self._is_busy = False
            return
        self._is_busy = True
        left, on_piece = self._streams.popleft()
        size_bytes = min(left, self._piece_bytes)
        left -= size_bytes

        def done() -> None:
            on_piece(size_bytes, not left)
            if left:
                self._streams.append((left, on_piece))
            self._serve()

        self._events.at(self._events.now_s + size_bytes / self._rate, done)
