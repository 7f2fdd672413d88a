"""Batching of the data of many attempts into one frame.

Tokens of many requests are ready at the same time, after one decoding step.
"""

from collections.abc import Sequence

from .messages import AttemptData, AttemptDataBatch

__all__ = ["join_data", "measure_data", "split_data"]

MESSAGE_OVERHEAD_BYTES = 64
"""Approximate size of a message in a frame without its data."""


def measure_data(message: AttemptData) -> int:
    """Return approximately how many bytes the message adds to a batch."""
    return len(message.data) + MESSAGE_OVERHEAD_BYTES


def join_data(messages: Sequence[AttemptData]) -> AttemptDataBatch:
    """Return one batch of all messages in their order."""
    return AttemptDataBatch(
        tuple(message.request_id for message in messages),
        tuple(message.attempt for message in messages),
        tuple(message.offset for message in messages),
        tuple(len(message.data) for message in messages),
        b"".join(message.data for message in messages),
    )


def split_data(batch: AttemptDataBatch) -> list[AttemptData]:
    """Return the messages of a batch.

    Raises `ValueError` if the columns differ in length or don't match the data.
    """
    columns = zip(
        batch.request_ids, batch.attempts, batch.offsets, batch.sizes, strict=True
    )
    if not batch.sizes:
        raise ValueError("a batch is empty")
    # With wrong sizes, bytes of one caller's answer would end up in another's.
    if sum(batch.sizes) != len(batch.data):
        raise ValueError("the sizes of a batch differ from its data")
    messages = []
    start = 0
    for request_id, attempt, offset, size in columns:
        data = batch.data[start : start + size]
        messages.append(AttemptData(request_id, attempt, offset, data))
        start += size
    return messages
