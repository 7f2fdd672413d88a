"""Events of the configuration: what an adopted version changed, and freshness."""

from collections.abc import Callable

from reedspar.configuration import ConfigurationDocument, ZoneState
from reedspar.errors import Failure, Reason
from reedspar.timeline import EventKind, EventRecorder

__all__ = ["ConfigurationObserver"]


class ConfigurationObserver:
    """Record adopted versions, and where work may no longer or again start."""

    def __init__(
        self, recorder: EventRecorder, check_work_allowed: Callable[[], Failure | None]
    ) -> None:
        self._recorder = recorder
        self._check_work_allowed = check_work_allowed
        self._document: ConfigurationDocument | None = None
        self._is_fresh = False
        self._was_ready = False

    def record_document(self, document: ConfigurationDocument) -> None:
        """Record a version that came into force here, and what it changed."""
        before = self._document
        self._document = document
        self._recorder.record(EventKind.CONFIG_ADOPTED, version=document.version)
        self._note_zones(before, document)
        self._note_models(before, document)

    def check_freshness(self) -> None:
        """Record a change; to be called a few times a second."""
        failure = self._check_work_allowed()
        is_fresh = failure is None or failure.reason is Reason.ZONE_OUT
        if is_fresh == self._is_fresh:
            return
        self._is_fresh = is_fresh
        if not is_fresh:
            self._recorder.record(EventKind.CONFIG_STALE, detail=str(failure))
        elif self._was_ready:
            self._recorder.record(EventKind.CONFIG_FRESH)
        else:
            self._was_ready = True
            self._recorder.record(EventKind.DAEMON_READY)

    def _note_zones(
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

    def _note_models(
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
