"""Decision: where the claim of an idempotency key lives in the key-value service.

A key that carries its date (a UUID of version 7, RFC 9562, section 5.7) lives
in the slice of that date: one value that all claims of a partition and a few
seconds share, so that one write carries many of them, and that can go once
its date is past the time to live, since the date itself then refuses a repeat.
An undated key lives in a value of its own.
"""

import hashlib
import re
from dataclasses import dataclass

from reedspar.errors import Failure, Reason, Step

__all__ = [
    "PARTITIONS",
    "SLICE_DURATION_S",
    "UNDATED",
    "UNDATED_TTL_S",
    "ClaimPlace",
    "is_location_expired",
    "partition_of",
    "place_claim",
]

PARTITIONS = 8
SLICE_DURATION_S = 1.0
"""Both are part of every location: a release that changes them must refuse keys
dated before its roll-out, or their orders could run again."""
UNDATED_TTL_S = 30 * 86_400.0
"""How long an undated key is refused after its order's record has expired."""
FUTURE_SKEW_MAX_S = 60.0
LOCATION_PREFIX = "claims"
UNDATED = "undated"
UUID_7 = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}",
    re.IGNORECASE,
)


@dataclass(frozen=True, slots=True)
class ClaimPlace:
    """The name of a claim, and the key of the value that holds it."""

    claim_key: str
    location: str


def place_claim(
    workspace: str, pool: str, key: str, now_s: float, ttl_s: float
) -> ClaimPlace | Failure:
    """Return the place of a key at the unix time `now_s`, or why it is refused."""
    identity = "\0".join((workspace, pool, key)).encode()
    claim_key = hashlib.blake2b(identity, digest_size=16).hexdigest()
    if UUID_7.fullmatch(key) is None:
        return ClaimPlace(claim_key, f"{LOCATION_PREFIX}/{UNDATED}/{claim_key}")
    key_time_s = int(key.replace("-", "")[:12], 16) / 1000
    if key_time_s > now_s + FUTURE_SKEW_MAX_S:
        detail = "the date in the idempotency key lies in the future"
        return Failure(Reason.INVALID, Step.DEDUPLICATE, detail=detail)
    if key_time_s + ttl_s < now_s:
        return make_expired_failure(ttl_s)
    partition = int(claim_key[:8], 16) % PARTITIONS
    number = int(key_time_s // SLICE_DURATION_S)
    return ClaimPlace(claim_key, f"{LOCATION_PREFIX}/{partition}/{number}")


def make_expired_failure(ttl_s: float) -> Failure:
    """Return the refusal of a key whose record may be gone."""
    detail = f"the key is older than {ttl_s:g} s; whether it ran is no longer known"
    return Failure(Reason.EXPIRED, Step.DEDUPLICATE, detail=detail)


def partition_of(location: str) -> str:
    """Return the partition of a location, ``undated`` for single values."""
    return location.split("/")[1]


def is_location_expired(location: str, now_s: float, ttl_s: float) -> bool:
    """Tell whether every key of a dated location is past its time to live."""
    _, partition, number = location.split("/")
    if partition == UNDATED:
        return False
    return (int(number) + 1) * SLICE_DURATION_S + ttl_s < now_s
