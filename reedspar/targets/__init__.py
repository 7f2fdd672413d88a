"""Execution of attempts at an agent: admission, queueing, reports and draining."""

from .controller import OfferSource, TargetController, create_target_controller
from .gate import ColdStartGate, GateSettings
from .table import AttemptRecord, AttemptTable

__all__ = [
    "AttemptRecord",
    "AttemptTable",
    "ColdStartGate",
    "GateSettings",
    "OfferSource",
    "TargetController",
    "create_target_controller",
]
