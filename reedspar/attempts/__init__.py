"""What an entry daemon and a target agent say to each other about one attempt."""

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
