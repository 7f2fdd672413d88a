"""Idempotency keys that contain a timestamp: version 7 UUIDs (RFC 9562)."""

import random
import time
import uuid

__all__ = ["make_dated_key"]

RANDOM_BITS = 74


def make_dated_key(rng: random.Random) -> str:
    """Return a key that contains the current time."""
    bits = rng.getrandbits(RANDOM_BITS)
    high, low = bits >> 62, bits & ((1 << 62) - 1)
    number = (int(time.time() * 1000) << 80) | (7 << 76) | (high << 64)
    return str(uuid.UUID(int=number | (2 << 62) | low))
