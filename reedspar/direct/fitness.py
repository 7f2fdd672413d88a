"""Decision: which targets a request may go to at all, whatever their load."""

from collections.abc import Collection, Mapping

from reedspar.fleet import FleetView, KnownTarget, TargetRecord, TargetState
from reedspar.requests.request import Request
from reedspar.routes import ServiceParameters

from .cold import ColdLimits
from .loads import TargetLoad, TargetLoads
from .versions import VersionRule

__all__ = ["Fitness", "closed_reason", "cold_rate_of"]


class Fitness:
    """Tells fit targets from others, and which of them may be sent to now."""

    def __init__(
        self,
        view: FleetView,
        loads: TargetLoads,
        cold: ColdLimits,
        versions: VersionRule,
        regions: Mapping[str, str],
    ) -> None:
        self._view = view
        self._loads = loads
        self._cold = cold
        self._versions = versions
        self._regions = regions

    def list_fit(
        self, request: Request, tried: Collection[str], now_s: float
    ) -> list[KnownTarget]:
        """Return the targets that could run a request and were not tried yet."""
        return [
            known
            for known in self._view.targets(request.pool)
            if known.record.id not in tried and self._is_fit(known, request, now_s)
        ]

    def list_open(
        self, fit: list[KnownTarget], terms: ServiceParameters | None, now_s: float
    ) -> list[tuple[KnownTarget, TargetLoad]]:
        """Return the targets that may be sent to now.

        Were all that failed lately left alone, the rest would drown in what
        they would have got.  So at least half of the targets stay in.
        """
        rate_per_s = cold_rate_of(terms)
        pairs = [(known, self._loads.of(known.record.id)) for known in fit]
        pairs = [pair for pair in pairs if now_s >= pair[1].closed_until_s]
        pairs = [
            (known, load)
            for known, load in pairs
            if not known.is_cold(now_s)
            or self._cold.may_send(known.record.id, load, rate_per_s, now_s)
        ]
        rested = [pair for pair in pairs if now_s >= pair[1].rest_until_s]
        if len(rested) * 2 >= len(pairs):
            return rested
        pairs.sort(key=lambda pair: pair[1].rest_until_s)
        return pairs[: (len(pairs) + 1) // 2]

    def is_in_time(
        self, record: TargetRecord, request: Request, expected_s: float
    ) -> bool:
        """Tell whether the request begins before its target's version is too old."""
        version = record.weights.get(request.model)
        if version is None:
            return True
        return self._versions.may_serve(request.model, version, expected_s)

    def _is_fit(self, known: KnownTarget, request: Request, now_s: float) -> bool:
        record = known.record
        if closed_reason(record, self._view, self._loads):
            return False
        region = self._regions.get(record.zone)
        if request.regions is not None and region not in request.regions:
            return False
        if not request.model:
            return True
        version = record.weights.get(request.model)
        if version is None or not self._versions.may_serve(request.model, version):
            return False
        return not request.weights_digest or request.weights_digest == str(version)


def closed_reason(record: TargetRecord, view: FleetView, loads: TargetLoads) -> str:
    """Return why a target may get nothing, whatever the request; empty if it may."""
    if record.state is not TargetState.READY:
        return "it leaves"
    if record.zone in view.zones_out:
        return "its zone is out"
    if loads.of(record.id).replaced_boot == record.boot_id:
        return "another target has its address"
    return ""


def cold_rate_of(terms: ServiceParameters | None) -> float:
    """Return the requests a second that a cold target bears; 0 if unbounded."""
    return terms.cold_requests_per_s if terms is not None else 0.0
