"""Encoding of frames: an envelope with the sender's state, and one payload."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import capnp

from reedspar.errors import Failure, Reason, Step

from .registry import MessageRegistry, load_schema

__all__ = ["Envelope", "Sender", "decode_frame", "encode_frame"]

_STRUCT = load_schema(__file__, "envelope.capnp").Envelope


@dataclass(frozen=True, slots=True)
class Sender:
    """The state of the sending daemon that every frame carries."""

    name: str
    incarnation: int
    config_version: int
    fresh_age_ms: int = 0


@dataclass(frozen=True, slots=True)
class Envelope:
    """A received frame, with a batch split into its messages."""

    sender: Sender
    messages: Sequence[Any]


def encode_frame(registry: MessageRegistry, sender: Sender, message: Any) -> bytes:
    """Return the bytes of the frame, without its length prefix."""
    message_type = registry.for_class(type(message))
    builder = _STRUCT.new_message()
    builder.sender = sender.name
    builder.incarnation = sender.incarnation
    builder.configVersion = sender.config_version
    builder.freshAgeMs = sender.fresh_age_ms
    builder.kind = message_type.kind
    builder.payload = message_type.encode(message)
    return builder.to_bytes()


def decode_frame(registry: MessageRegistry, data: bytes) -> Envelope | Failure:
    """Return the decoded frame, or a failure if it can't be read.

    An unknown message kind is reported as `NOT_FOUND`, not as `CORRUPT`, so that
    messages of a newer release can be ignored without closing the link.
    """
    try:
        with _STRUCT.from_bytes(data) as reader:
            kind = reader.kind
            payload = reader.payload
            sender = Sender(
                reader.sender,
                reader.incarnation,
                reader.configVersion,
                reader.freshAgeMs,
            )
        message_type = registry.for_kind(kind)
        if message_type is None:
            return Failure(Reason.NOT_FOUND, Step.LINK, sender.name, f"kind {kind}")
        return Envelope(sender, registry.split(message_type.decode(payload)))
    except (capnp.KjException, UnicodeDecodeError, ValueError) as error:
        return Failure(Reason.CORRUPT, Step.LINK, detail=str(error).splitlines()[0])
