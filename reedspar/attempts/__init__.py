"""Messages between entry daemons and target agents about attempts and targets."""

from .messages import (
    AttemptAck,
    AttemptCancel,
    AttemptData,
    AttemptDataBatch,
    AttemptEnd,
    AttemptHead,
    AttemptPhase,
    AttemptRefused,
    AttemptResume,
    AttemptStart,
    AttemptStatus,
    CrashNotice,
    EndKind,
    Header,
    LoadedWeights,
    TargetReport,
    TargetStatus,
)
from .registration import register_messages

__all__ = [
    "AttemptAck",
    "AttemptCancel",
    "AttemptData",
    "AttemptDataBatch",
    "AttemptEnd",
    "AttemptHead",
    "AttemptPhase",
    "AttemptRefused",
    "AttemptResume",
    "AttemptStart",
    "AttemptStatus",
    "CrashNotice",
    "EndKind",
    "Header",
    "LoadedWeights",
    "TargetReport",
    "TargetStatus",
    "register_messages",
]
