"""Time as a service: clocks, subscriptions, and the detection of pauses."""

from .clock import Clock, MonotonicClock, VirtualClock
from .service import PauseListener, Subscription, TimerService, create_timer_service

__all__ = [
    "Clock",
    "MonotonicClock",
    "PauseListener",
    "Subscription",
    "TimerService",
    "VirtualClock",
    "create_timer_service",
]
