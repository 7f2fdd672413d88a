"""Reports of the load of this agent's target to the entries that subscribed."""

from collections.abc import Callable
from dataclasses import dataclass

from reedspar.fleet import FleetView, TargetLoadNews
from reedspar.links import Network
from reedspar.messages import Sender
from reedspar.platform import EngineState
from reedspar.pool_state import LoadSubscription
from reedspar.utils import TokenBucket

__all__ = ["LoadReporter"]

UNCHANGED_REPORT_INTERVAL_S = 0.75
"""Interval of reports of an unchanged load.  With the time between two reads of the
engine's state, at least one report a second is sent."""
SUBSCRIPTION_TTL_S = 5.0
SUBSCRIBERS_MAX = 16
INTERVAL_MIN_S = 0.25
REPORT_BURST = 2.0
CONSIDERABLE_COUNT_CHANGE = 2
CONSIDERABLE_PACE_CHANGE = 0.2


@dataclass(slots=True)
class _Subscriber:
    expires_s: float
    bucket: TokenBucket
    last_report: TargetLoadNews | None = None
    last_sent_s: float = float("-inf")


class LoadReporter:
    """Reports a considerable change of the load, and periodically an unchanged one."""

    def __init__(
        self,
        host: str,
        port: int,
        pool: str,
        view: FleetView,
        network: Network,
        now_s: Callable[[], float],
        is_taking: Callable[[], bool],
    ) -> None:
        self._host = host
        self._port = port
        self._pool = pool
        self._view = view
        self._network = network
        self._now_s = now_s
        self._is_taking = is_taking
        self._subscribers: dict[str, _Subscriber] = {}
        network.subscribe(LoadSubscription, self._on_subscription)

    def report_state(self, state: EngineState) -> None:
        """Report the engine's state to the subscribers that don't know it."""
        now_s = self._now_s()
        self._subscribers = {
            name: subscriber
            for name, subscriber in self._subscribers.items()
            if now_s < subscriber.expires_s
        }
        if not self._subscribers:
            return
        report = TargetLoadNews(
            self._host,
            self._port,
            state.in_flight,
            state.queued,
            self._find_slots(),
            self._is_taking() and state.is_taking,
            state.pace,
        )
        for name, subscriber in self._subscribers.items():
            if _is_due(subscriber, report, now_s):
                subscriber.bucket.consume(1.0, now_s)
                subscriber.last_report = report
                subscriber.last_sent_s = now_s
                self._network.send(name, report)

    def _on_subscription(self, sender: Sender, message: LoadSubscription) -> None:
        now_s = self._now_s()
        rate_per_s = 1 / max(message.interval_ms / 1000, INTERVAL_MIN_S)
        known = self._subscribers.get(sender.name)
        if known is None:
            if len(self._subscribers) >= SUBSCRIBERS_MAX:
                return
            known = _Subscriber(now_s, TokenBucket(rate_per_s, REPORT_BURST))
            self._subscribers[sender.name] = known
        known.bucket.set_rate(rate_per_s, now_s)
        known.expires_s = now_s + SUBSCRIPTION_TTL_S

    def _find_slots(self) -> int:
        """Return the number of requests that the target runs concurrently.

        An agent of a site doesn't follow the targets' records.
        """
        target = self._view.find_target(self._host, self._port)
        if target is not None:
            return target.record.slots
        routes = self._view.routes
        service = routes.services.get(self._pool) if routes is not None else None
        engine = service.engine if service is not None else None
        return engine.slots if engine is not None else 1


def _is_due(subscriber: _Subscriber, report: TargetLoadNews, now_s: float) -> bool:
    last = subscriber.last_report
    silent_s = now_s - subscriber.last_sent_s
    if last is None or silent_s >= UNCHANGED_REPORT_INTERVAL_S:
        return True
    return _is_considerable(last, report) and subscriber.bucket.is_ready(now_s)


def _is_considerable(last: TargetLoadNews, report: TargetLoadNews) -> bool:
    """Return whether a report differs considerably from the last one."""
    count_change = max(
        abs(report.running - last.running), abs(report.waiting - last.waiting)
    )
    pace_change = abs(report.pace - last.pace)
    return (
        count_change >= CONSIDERABLE_COUNT_CHANGE
        or report.is_taking != last.is_taking
        or pace_change >= CONSIDERABLE_PACE_CHANGE * last.pace
    )
