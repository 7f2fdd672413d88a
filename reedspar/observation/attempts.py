"""Events and metrics of attempts, derived from their messages at an entry or agent."""

from collections import OrderedDict
from typing import Any

from reedspar.attempts import (
    AttemptCancel,
    AttemptData,
    AttemptEnd,
    AttemptHead,
    AttemptRefused,
    AttemptResume,
    AttemptStart,
    EndKind,
)
from reedspar.messages import Sender
from reedspar.telemetry import Metrics
from reedspar.timeline import EventKind, EventRecorder

from .network import ObservedNetwork

__all__ = ["AttemptObserver"]

OPEN_ATTEMPTS_MAX = 16_384
REFUSED = "refused"
END_EVENTS = {
    EndKind.COMPLETE: EventKind.ATTEMPT_FINISHED,
    EndKind.NOT_RUN: EventKind.ATTEMPT_NOT_RUN,
    EndKind.BROKEN: EventKind.ATTEMPT_BROKEN,
}


class AttemptObserver:
    """Record the messages of attempts that an entry or an agent sends and receives.

    After a resumption, an end may arrive twice; only the first one of an open attempt
    is recorded.
    """

    def __init__(
        self, network: ObservedNetwork, metrics: Metrics, recorder: EventRecorder
    ) -> None:
        self._metrics = metrics
        self._recorder = recorder
        self._open_attempts: OrderedDict[tuple[str, int], str] = OrderedDict()
        self._relayed_bytes = 0
        metrics.relayed_bytes.set_callback(lambda: self._relayed_bytes)
        network.subscribe(AttemptData, self._on_data)
        self._observe_both_directions(network, AttemptStart, self._on_start)
        self._observe_both_directions(network, AttemptHead, self._on_head)
        self._observe_both_directions(network, AttemptEnd, self._on_end)
        self._observe_both_directions(network, AttemptRefused, self._on_refused)
        network.on_sent(AttemptCancel, self._on_cancel_sent)
        network.on_sent(AttemptResume, self._on_resume_sent)

    def _observe_both_directions(
        self, network: ObservedNetwork, message_class: type, observe: Any
    ) -> None:
        """Call `observe` with the peer, the message, and True if it was sent."""
        network.on_sent(message_class, lambda peer, m: observe(peer, m, True))

        def receive(sender: Sender, message: Any) -> None:
            observe(sender.name, message, False)

        network.subscribe(message_class, receive)

    def _record(self, kind: EventKind, message: Any, peer: str, detail: str) -> None:
        self._recorder.record(
            kind,
            request_id=message.request_id,
            attempt=message.attempt,
            target=peer,
            detail=detail,
        )

    def _on_start(self, peer: str, message: AttemptStart, is_sent: bool) -> None:
        key = (message.request_id, message.attempt)
        if key in self._open_attempts:
            return
        self._open_attempts[key] = peer
        if len(self._open_attempts) > OPEN_ATTEMPTS_MAX:
            self._open_attempts.popitem(last=False)
        if is_sent:
            self._record(EventKind.ATTEMPT_SENT, message, peer, "")
        else:
            self._record(EventKind.ATTEMPT_RECEIVED, message, "", f"from {peer}")

    def _on_head(self, peer: str, message: AttemptHead, is_sent: bool) -> None:
        if (message.request_id, message.attempt) not in self._open_attempts:
            return
        self._recorder.record(
            EventKind.ATTEMPT_ANSWERING,
            request_id=message.request_id,
            attempt=message.attempt,
            target="" if is_sent else peer,
            version=message.weights_digest,
            detail=f"status {message.status}",
        )

    def _on_end(self, peer: str, message: AttemptEnd, is_sent: bool) -> None:
        if not self._remove_open(message):
            return
        self._metrics.attempts.add(1, {"outcome": message.kind.value})
        detail = f"{message.length_bytes} bytes"
        if message.kind is not EndKind.COMPLETE:
            detail = f"{message.reason.value}: {message.detail}"
        target = "" if is_sent else peer
        self._record(END_EVENTS[message.kind], message, target, detail)

    def _on_refused(self, peer: str, message: AttemptRefused, is_sent: bool) -> None:
        if not self._remove_open(message):
            return
        self._metrics.attempts.add(1, {"outcome": REFUSED})
        target = "" if is_sent else peer
        detail = f"{message.reason.value}: {message.detail}"
        self._record(EventKind.ATTEMPT_REFUSED, message, target, detail)

    def _on_data(self, sender: Sender, message: AttemptData) -> None:
        self._relayed_bytes += len(message.data)

    def _on_cancel_sent(self, peer: str, message: AttemptCancel) -> None:
        self._record(EventKind.ATTEMPT_CANCELLED, message, peer, "")

    def _on_resume_sent(self, peer: str, message: AttemptResume) -> None:
        self._record(
            EventKind.ATTEMPT_RESUMED, message, peer, f"from byte {message.offset}"
        )

    def _remove_open(self, message: Any) -> bool:
        """Remove an open attempt; return whether it was open."""
        key = (message.request_id, message.attempt)
        return self._open_attempts.pop(key, None) is not None
