"""Limits of the requests that this entry sends to single targets."""

from reedspar.fleet import KnownTarget
from reedspar.routes import ServiceParameters

from .cold_limits import ColdLimits
from .loads import TargetLoad
from .rate_limits import RateLimits

__all__ = ["SendLimits"]


class SendLimits:
    """Combines the limits of cold targets with those that targets name."""

    def __init__(self, cold: ColdLimits, named: RateLimits) -> None:
        self._cold = cold
        self._named = named

    def may_send(
        self,
        known: KnownTarget,
        load: TargetLoad,
        service: ServiceParameters | None,
        now_s: float,
    ) -> bool:
        """Return whether one more request may be sent to a target now."""
        if not self._named.may_send(known.record, now_s):
            return False
        return not known.is_cold(now_s) or self._cold.may_send(
            known.record.id, load, _cold_rate_per_s(service), now_s
        )

    def record_sent(
        self,
        known: KnownTarget | None,
        load: TargetLoad,
        service: ServiceParameters | None,
        now_s: float,
    ) -> None:
        """Count a request to a target."""
        if known is None:
            return
        self._named.record_sent(known.record, now_s)
        if known.is_cold(now_s):
            self._cold.record_sent(load, _cold_rate_per_s(service), now_s)


def _cold_rate_per_s(service: ServiceParameters | None) -> float:
    """Return the limit of requests a second to a cold target; 0 if unlimited."""
    return service.cold_requests_per_s if service is not None else 0.0
