"""A network wrapper that counts messages and reports sent ones to observers."""

from collections import Counter
from collections.abc import Callable
from typing import Any

from reedspar.errors import Failure
from reedspar.links import (
    Handler,
    LinkChange,
    LinkEvent,
    Network,
    NetworkWrapper,
    Priority,
)
from reedspar.messages import Sender
from reedspar.telemetry import Metrics
from reedspar.timeline import EventKind, EventRecorder

__all__ = ["ObservedNetwork"]

SentHandler = Callable[[str, Any], None]
LINK_EVENTS = {
    LinkChange.UP: EventKind.LINK_UP,
    LinkChange.REPLACED: EventKind.LINK_REPLACED,
    LinkChange.DOWN: EventKind.LINK_DOWN,
}


class ObservedNetwork(NetworkWrapper):
    """Forward everything to the wrapped network; count messages by type."""

    def __init__(
        self, network: Network, metrics: Metrics, recorder: EventRecorder
    ) -> None:
        super().__init__(network)
        self._metrics = metrics
        self._recorder = recorder
        self._sent_counts: Counter[type] = Counter()
        self._received_counts: Counter[type] = Counter()
        self._counted_classes: set[type] = set()
        self._sent_handlers: dict[type, SentHandler] = {}
        network.on_link_event(self._handle_link_event)
        metrics.messages.set_callback(self._read_counts)
        metrics.links_up.set_callback(lambda: len(network.peers()))

    def on_sent(self, message_class: type, handler: SentHandler) -> None:
        """Call `handler` with the peer and each queued message of the class."""
        self._sent_handlers[message_class] = handler

    def send(
        self, peer: str, message: Any, priority: Priority = Priority.LIVE
    ) -> Failure | None:
        """Queue a message; return a failure if nothing was sent."""
        failure = self._network.send(peer, message, priority)
        if failure is not None:
            return failure
        message_class = type(message)
        self._sent_counts[message_class] += 1
        handler = self._sent_handlers.get(message_class)
        if handler is not None:
            handler(peer, message)
        return None

    def subscribe(self, message_class: type, handler: Handler) -> None:
        """Call `handler`, which must not block, with each message of the class."""
        if message_class not in self._counted_classes:
            self._counted_classes.add(message_class)
            self._network.subscribe(message_class, self._count_received)
        self._network.subscribe(message_class, handler)

    def _count_received(self, sender: Sender, message: Any) -> None:
        self._received_counts[type(message)] += 1

    def _handle_link_event(self, event: LinkEvent) -> None:
        kind = LINK_EVENTS.get(event.change)
        if kind is None:
            return
        self._metrics.link_changes.add(1, {"change": event.change.value})
        detail = event.reason.value if event.reason else ""
        self._recorder.record(kind, target=event.peer, detail=detail)

    def _read_counts(self) -> list[tuple[float, dict[str, str]]]:
        readings = []
        for direction, counts in (
            ("sent", self._sent_counts),
            ("received", self._received_counts),
        ):
            for message_class, count in counts.items():
                labels = {"kind": message_class.__name__, "direction": direction}
                readings.append((float(count), labels))
        return readings
