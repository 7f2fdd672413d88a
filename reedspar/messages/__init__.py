"""Typed messages between daemons, and their Cap'n Proto encoding."""

from .codec import Envelope, Sender, decode_frame, encode_frame
from .registry import BatchType, MessageRegistry, load_schema

__all__ = [
    "BatchType",
    "Envelope",
    "MessageRegistry",
    "Sender",
    "decode_frame",
    "encode_frame",
    "load_schema",
]
