"""Events of the configuration: changes in adopted versions, and freshness."""

from collections.abc import Callable

from reedspar.configuration import ConfigurationDocument, ZoneState
from reedspar.errors import Failure, Reason
from reedspar.timeline import EventKind, EventRecorder

__all__ = ["ConfigurationObserver"]


class ConfigurationObserver:
    """Record adopted versions, and when new work becomes allowed or disallowed."""

    def __init__(
        self, recorder: EventRecorder, check_work_allowed: Callable[[], Failure | None]
    ) -> None:
        self._recorder = recorder
        self._check_work_allowed = check_work_allowed
        self._document: ConfigurationDocument | None = None
        self._is_fresh = False
        self._has_been_ready = False

    def record_document(self, document: ConfigurationDocument) -> None:
        """Record a version that this daemon adopted, and its changes."""
        before = self._document
        self._document = document
        self._recorder.record(EventKind.CONFIG_ADOPTED, version=document.version)
        self._record_zone_changes(before, document)
        self._record_published_versions(before, document)

    def check_freshness(self) -> None:
        """Record a change of freshness; to be called a few times per second."""
        failure = self._check_work_allowed()
        is_fresh = failure is None or failure.reason is Reason.ZONE_OUT
        if is_fresh == self._is_fresh:
            return
        self._is_fresh = is_fresh
        if not is_fresh:
            self._recorder.record(EventKind.CONFIG_STALE, detail=str(failure))
        elif self._has_been_ready:
            self._recorder.record(EventKind.CONFIG_FRESH)
        else:
            self._has_been_ready = True
            self._recorder.record(EventKind.DAEMON_READY)

    def _record_zone_changes(
        self, before: ConfigurationDocument | None, now: ConfigurationDocument
    ) -> None:
        zones = set(now.zones) | (set(before.zones) if before else set())
        for zone in sorted(zones):
            was_in = before.is_zone_in(zone) if before else True
            if now.is_zone_in(zone) == was_in:
                continue
            state = now.zones.get(zone, ZoneState.IN)
            kind = EventKind.ZONE_IN if state is ZoneState.IN else EventKind.ZONE_OUT
            self._recorder.record(kind, version=now.version, detail=zone)

    def _record_published_versions(
        self, before: ConfigurationDocument | None, now: ConfigurationDocument
    ) -> None:
        for model, version in now.models.items():
            known = before.models.get(model) if before else None
            if known is None or known.root_digest != version.root_digest:
                self._recorder.record(
                    EventKind.WEIGHTS_PUBLISHED,
                    model=model,
                    version=version.root_digest,
                    detail=f"label {version.label}, sequence {version.sequence}",
                )
