"""Events and metrics of a target, derived from the reports that its agent sends."""

from reedspar.attempts import TargetReport, TargetStatus
from reedspar.telemetry import Metrics
from reedspar.timeline import EventKind, EventRecorder

from .network import ObservedNetwork

__all__ = ["ReportObserver"]

STATUS_EVENTS = {
    TargetStatus.COLD: EventKind.TARGET_COLD,
    TargetStatus.READY: EventKind.TARGET_READY,
    TargetStatus.LEAVING: EventKind.TARGET_LEAVING,
    TargetStatus.DOWN: EventKind.TARGET_DOWN,
}


class ReportObserver:
    """Record the changes between reports; one sent to several entries counts once."""

    def __init__(
        self, network: ObservedNetwork, metrics: Metrics, recorder: EventRecorder
    ) -> None:
        self._metrics = metrics
        self._recorder = recorder
        self._last_report: TargetReport | None = None
        network.on_sent(TargetReport, self._on_report)

    def _on_report(self, peer: str, report: TargetReport) -> None:
        last = self._last_report
        if last is not None and report.sequence <= last.sequence:
            return
        if last is None:
            self._metrics.gate_limit.set_callback(self._read_limit)
            self._metrics.gate_queued.set_callback(self._read_queued)
        self._last_report = report
        self._record_restart(last, report)
        if last is None or last.status is not report.status:
            kind = STATUS_EVENTS[report.status]
            self._recorder.record(
                kind, target=report.target, detail=f"limit {report.limit}"
            )
        self._record_offer_changes(last, report)

    def _record_restart(self, last: TargetReport | None, report: TargetReport) -> None:
        if last is not None and last.boot_id and last.boot_id != report.boot_id:
            self._recorder.record(EventKind.TARGET_RESTARTED, target=report.target)

    def _record_offer_changes(
        self, last: TargetReport | None, report: TargetReport
    ) -> None:
        before = set(last.offered) if last else set()
        now = set(report.offered)
        changes = (
            (EventKind.WEIGHTS_WITHDRAWN, "withdrawn", before - now),
            (EventKind.WEIGHTS_OFFERED, "offered", now - before),
        )
        for kind, change, weights in changes:
            for item in sorted(weights, key=lambda item: item.model):
                labels = {"model": item.model, "change": change}
                self._metrics.offers.add(1, labels)
                self._recorder.record(
                    kind,
                    target=report.target,
                    model=item.model,
                    version=item.root_digest,
                )

    def _read_limit(self) -> float:
        return self._last_report.limit if self._last_report else 0

    def _read_queued(self) -> float:
        return self._last_report.queued if self._last_report else 0
