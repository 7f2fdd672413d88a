"""Eligibility and availability of targets for a request.

Eligible targets can run the request; of these, available ones may be sent to now.
"""

from collections.abc import Collection, Mapping

from reedspar.fleet import FleetView, KnownTarget, TargetRecord, TargetState
from reedspar.requests.request import Request
from reedspar.routes import ServiceParameters

from .loads import TargetLoad, TargetLoads
from .notices import TargetNotices
from .send_limits import SendLimits
from .versions import VersionRule

__all__ = ["TargetEligibility", "ineligibility_reason"]


class TargetEligibility:
    """Lists the eligible and the available targets of a request."""

    def __init__(
        self,
        view: FleetView,
        loads: TargetLoads,
        notices: TargetNotices,
        send_limits: SendLimits,
        versions: VersionRule,
        region_by_zone: Mapping[str, str],
    ) -> None:
        self._view = view
        self._loads = loads
        self._notices = notices
        self._send_limits = send_limits
        self._versions = versions
        self._region_by_zone = region_by_zone

    def list_eligible(
        self, request: Request, tried: Collection[str], now_s: float
    ) -> list[KnownTarget]:
        """Return the targets that can run a request and were not tried yet."""
        return [
            known
            for known in self._view.targets(request.pool)
            if known.record.id not in tried and self._is_eligible(known, request, now_s)
        ]

    def list_available(
        self,
        eligible: list[KnownTarget],
        service: ServiceParameters | None,
        now_s: float,
    ) -> list[tuple[KnownTarget, TargetLoad]]:
        """Return the eligible targets that may be sent to now.

        Targets that have asked for a pause are never among them.  Excluding every
        target in backoff could overload the remaining ones, so at least half of the
        others are returned.
        """
        pairs = [
            (known, self._loads.for_target(known.record.id))
            for known in eligible
            if not self._pause_left_s(known, now_s)
        ]
        pairs = [pair for pair in pairs if now_s >= pair[1].not_accepting_until_s]
        pairs = [
            (known, load)
            for known, load in pairs
            if self._send_limits.may_send(known, load, service, now_s)
        ]
        available = [pair for pair in pairs if now_s >= pair[1].unavailable_until_s]
        if len(available) * 2 >= len(pairs):
            return available
        pairs.sort(key=lambda pair: pair[1].unavailable_until_s)
        return pairs[: (len(pairs) + 1) // 2]

    def common_pause_s(self, eligible: list[KnownTarget], now_s: float) -> float:
        """Return the time until the first pause ends; 0 if a target is not pausing."""
        return min(
            (self._pause_left_s(known, now_s) for known in eligible), default=0.0
        )

    def can_begin_in_time(
        self, record: TargetRecord, request: Request, expected_wait_s: float
    ) -> bool:
        """Return whether a request would begin before its target's version expires."""
        version = record.weights.get(request.model)
        if version is None:
            return True
        return self._versions.may_serve(request.model, version, expected_wait_s)

    def _pause_left_s(self, known: KnownTarget, now_s: float) -> float:
        return self._notices.pause_left_s(known.record.boot_id, now_s)

    def _is_eligible(self, known: KnownTarget, request: Request, now_s: float) -> bool:
        record = known.record
        if ineligibility_reason(record, self._view, self._loads, self._notices):
            return False
        region = self._region_by_zone.get(record.zone)
        if request.regions is not None and region not in request.regions:
            return False
        if not request.model:
            return True
        version = record.weights.get(request.model)
        if version is None or not self._versions.may_serve(request.model, version):
            return False
        return not request.weights_digest or request.weights_digest == str(version)


def ineligibility_reason(
    record: TargetRecord,
    view: FleetView,
    loads: TargetLoads,
    notices: TargetNotices,
) -> str:
    """Return why a target may get no request at all, or an empty string."""
    # While the store does not answer, only an announcement tells that a target leaves.
    if record.state is not TargetState.READY or notices.is_leaving(record.boot_id):
        return "it leaves"
    if record.zone in view.zones_out:
        return "its zone is out"
    is_superseded = view.is_superseded(record.id)
    if is_superseded or loads.for_target(record.id).replaced_boot_id == record.boot_id:
        return "another target has its address"
    return ""
