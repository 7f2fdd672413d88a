"""Estimates of how fast each target works at this moment.

Targets that share their machines with others change their speed many times a second.
A figure is trusted for as long as such figures usually hold; after that the estimate
moves back to what is usual in the pool.
"""

from .estimates import DecayingSpeedEstimates, raise_estimate
from .interfaces import SpeedEstimate, SpeedEstimates, SpeedFigure, SpeedSource
from .measured import MeasuredLags
from .news import SpeedNewsQueue, is_news
from .service_times import ServiceTimes, queue_factor

__all__ = [
    "DecayingSpeedEstimates",
    "MeasuredLags",
    "ServiceTimes",
    "SpeedEstimate",
    "SpeedEstimates",
    "SpeedFigure",
    "SpeedNewsQueue",
    "SpeedSource",
    "is_news",
    "queue_factor",
    "raise_estimate",
]
