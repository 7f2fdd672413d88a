"""What an entry daemon and a target agent say to each other about one attempt."""

from .messages import (
    AttemptAck,
    AttemptCancel,
    AttemptData,
    AttemptEnd,
    AttemptHead,
    AttemptPhase,
    AttemptRefused,
    AttemptResume,
    AttemptStart,
    AttemptStatus,
    EndKind,
    Header,
    LoadedWeights,
    TargetReport,
    TargetStatus,
    register_messages,
)

__all__ = [
    "AttemptAck",
    "AttemptCancel",
    "AttemptData",
    "AttemptEnd",
    "AttemptHead",
    "AttemptPhase",
    "AttemptRefused",
    "AttemptResume",
    "AttemptStart",
    "AttemptStatus",
    "EndKind",
    "Header",
    "LoadedWeights",
    "TargetReport",
    "TargetStatus",
    "register_messages",
]
