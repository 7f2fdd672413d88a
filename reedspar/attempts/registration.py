"""Registration of the message types of this package."""

from reedspar.messages import BatchType, MessageRegistry, load_schema

from .batches import join_data, measure_data, split_data
from .messages import (
    AttemptAck,
    AttemptCancel,
    AttemptData,
    AttemptDataBatch,
    AttemptEnd,
    AttemptHead,
    AttemptRefused,
    AttemptResume,
    AttemptStart,
    AttemptStatus,
    CrashNotice,
    LeaveConfirmation,
    LeaveNotice,
    TargetReport,
)

__all__ = ["register_messages"]


def register_messages(registry: MessageRegistry) -> None:
    """Add the message types of attempts and target reports to `registry`."""
    schema = load_schema(__file__, "attempts.capnp")
    registry.add_all(
        schema,
        AttemptStart,
        AttemptRefused,
        AttemptHead,
        AttemptData,
        AttemptDataBatch,
        AttemptEnd,
        AttemptCancel,
        AttemptResume,
        AttemptStatus,
        AttemptAck,
        TargetReport,
        CrashNotice,
        LeaveNotice,
        LeaveConfirmation,
    )
    registry.add_batch(
        AttemptData,
        BatchType(AttemptDataBatch, measure_data, join_data, split_data),
    )
