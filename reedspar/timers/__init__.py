"""Clocks, and a timer service that detects pauses of the process."""

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
