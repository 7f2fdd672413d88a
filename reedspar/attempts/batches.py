"""Data of many attempts in one frame, for tokens that are ready at the same time."""

from collections.abc import Sequence

from .messages import AttemptData, AttemptDataBatch

__all__ = ["join_data", "measure_data", "split_data"]

OVERHEAD_BYTES = 64
"""About what a piece takes in a frame beside its data."""


def measure_data(message: AttemptData) -> int:
    """Return about how many bytes the message adds to a batch."""
    return len(message.data) + OVERHEAD_BYTES


def join_data(messages: Sequence[AttemptData]) -> AttemptDataBatch:
    """Return one message that stands for all, in their order."""
    return AttemptDataBatch(
        tuple(message.request_id for message in messages),
        tuple(message.attempt for message in messages),
        tuple(message.offset for message in messages),
        tuple(len(message.data) for message in messages),
        b"".join(message.data for message in messages),
    )


def split_data(batch: AttemptDataBatch) -> list[AttemptData]:
    """Return the messages; raise `ValueError` if the columns don't fit."""
    columns = zip(
        batch.request_ids, batch.attempts, batch.offsets, batch.sizes, strict=True
    )
    if not batch.sizes:
        raise ValueError("a batch is empty")
    # Cut at wrong places, one caller's bytes would go into another's answer.
    if sum(batch.sizes) != len(batch.data):
        raise ValueError("the sizes of a batch differ from its data")
    messages = []
    start = 0
    for request_id, attempt, offset, size in columns:
        data = batch.data[start : start + size]
        messages.append(AttemptData(request_id, attempt, offset, data))
        start += size
    return messages
