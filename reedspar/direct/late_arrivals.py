"""Attempts that were closed without a sign of their target, and may still arrive."""

from reedspar.fleet import FleetView
from reedspar.requests.hand_over import HandOver, Settlement
from reedspar.timers import TimerService

__all__ = ["Address", "LateArrivals", "create_late_arrivals"]

Address = tuple[str, int]

DELIVERY_MAX_S = 3.0
"""Time in which bytes that were written reach the kernel of a target, or are lost.

It is the user timeout of the connections."""
STANDSTILL_MAX_S = 120.0
"""Time without a sign after which a process that stands still is taken for gone."""
SWEEP_INTERVAL_S = 1.0


class LateArrivals:
    """Follows attempts by the address of their target until they can't arrive.

    A target reads its connections in their order.  So what it answers on a connection
    that was opened much later tells that it has read the earlier ones, or that another
    process has taken its place.
    """

    def __init__(self, view: FleetView, timers: TimerService) -> None:
        self._view = view
        self._timers = timers
        self._expected: dict[Address, list[HandOver]] = {}
        timers.call_every(SWEEP_INTERVAL_S, self.sweep)

    @property
    def count(self) -> int:
        """Return how many attempts are followed."""
        return sum(map(len, self._expected.values()))

    def address_of(self, target: str) -> Address | None:
        """Return the address to which attempts at a target are sent now."""
        known = self._view.target(target)
        return (known.record.host, known.record.port) if known is not None else None

    def expect(self, address: Address | None, hand_over: HandOver) -> None:
        """Follow an attempt that has ended without a sign of its target."""
        if address is None:
            hand_over.settle(Settlement.UNSENT, self._timers.now_s())
        elif hand_over.is_awaited:
            self._expected.setdefault(address, []).append(hand_over)

    def record_reply(self, address: Address | None, replied: HandOver) -> None:
        """Record a sign of the target on the connection of another attempt."""
        if address not in self._expected:
            return
        self._settle(
            address,
            Settlement.OVERTAKEN,
            written_before_s=replied.opened_s - DELIVERY_MAX_S,
        )

    def sweep(self) -> None:
        """Forget attempts that nobody waits for, and those of long ago."""
        expired_s = self._timers.now_s() - STANDSTILL_MAX_S
        for address in list(self._expected):
            self._settle(address, Settlement.EXPIRED, written_before_s=expired_s)

    def _settle(
        self, address: Address, settlement: Settlement, written_before_s: float
    ) -> None:
        now_s = self._timers.now_s()
        kept: list[HandOver] = []
        for hand_over in self._expected.pop(address):
            written_s = hand_over.written_s
            if written_s is None or written_s <= written_before_s:
                hand_over.settle(settlement, now_s)
            elif hand_over.is_awaited:
                kept.append(hand_over)
        if kept:
            self._expected[address] = kept


def create_late_arrivals(view: FleetView, timers: TimerService) -> LateArrivals:
    """Create a register of attempts that may still arrive."""
    return LateArrivals(view, timers)
