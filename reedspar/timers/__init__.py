"""Clocks, and a timer service that detects pauses of the process."""

from .clock import Clock, MonotonicClock, VirtualClock
from .service import PauseListener, Timer, TimerService, create_timer_service

__all__ = [
    "Clock",
    "MonotonicClock",
    "PauseListener",
    "Timer",
    "TimerService",
    "VirtualClock",
    "create_timer_service",
]
