"""Mapping of idempotency keys to locations in the key-value service.

A key that carries its date (a UUID of version 7, RFC 9562, section 5.7) is stored
in the slice of that date.  A slice is one value for all claims of a partition
within `SLICE_DURATION_S`, so that one write can carry many claims.  It can be
removed when its date is older than the time to live, since repeats of its keys
are then refused for their date.  An undated key is stored in a value of its own.
"""

import hashlib
import re
from dataclasses import dataclass

from reedspar.errors import Failure, Reason, Step

__all__ = [
    "PARTITION_COUNT",
    "SLICE_DURATION_S",
    "UNDATED",
    "UNDATED_TTL_S",
    "ClaimLocator",
    "is_location_expired",
    "locate_claim",
    "partition_of",
]

PARTITION_COUNT = 8
"""Number of partitions.

For changing it, the same conditions apply as for `SLICE_DURATION_S`."""
SLICE_DURATION_S = 1.0
"""Time span of the keys in one slice.

The location of a key depends on this and on `PARTITION_COUNT`.  A release that changes
either must refuse keys dated before its roll-out, or their orders could run again."""
UNDATED_TTL_S = 30 * 86_400.0
"""How long an undated key is refused after the time to live of its record."""
FUTURE_SKEW_MAX_S = 60.0
"""How far in the future a key's date may be, as clocks differ."""
LOCATION_PREFIX = "claims"
UNDATED = "undated"
UUID_7 = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}",
    re.IGNORECASE,
)


@dataclass(frozen=True, slots=True)
class ClaimLocator:
    """The key of a claim, and the location of the value that contains it."""

    claim_key: str
    location: str


def locate_claim(
    workspace: str, pool: str, key: str, now_s: float, ttl_s: float
) -> ClaimLocator | Failure:
    """Return the locator of a key at Unix time `now_s`, or a failure to refuse it."""
    identity = "\0".join((workspace, pool, key)).encode()
    claim_key = hashlib.blake2b(identity, digest_size=16).hexdigest()
    if UUID_7.fullmatch(key) is None:
        return ClaimLocator(claim_key, f"{LOCATION_PREFIX}/{UNDATED}/{claim_key}")
    key_time_s = int(key.replace("-", "")[:12], 16) / 1000
    if key_time_s > now_s + FUTURE_SKEW_MAX_S:
        detail = "the date in the idempotency key lies in the future"
        return Failure(Reason.INVALID, Step.DEDUPLICATE, detail=detail)
    if key_time_s + ttl_s < now_s:
        return make_expired_failure(ttl_s)
    partition = int(claim_key[:8], 16) % PARTITION_COUNT
    number = int(key_time_s // SLICE_DURATION_S)
    return ClaimLocator(claim_key, f"{LOCATION_PREFIX}/{partition}/{number}")


def make_expired_failure(ttl_s: float) -> Failure:
    """Return the failure for a key whose record may have been removed."""
    detail = f"the key is older than {ttl_s:g} s; whether it ran is no longer known"
    return Failure(Reason.EXPIRED, Step.DEDUPLICATE, detail=detail)


def partition_of(location: str) -> str:
    """Return the partition of a location, or ``undated``."""
    return location.split("/")[1]


def is_location_expired(location: str, now_s: float, ttl_s: float) -> bool:
    """Return whether all keys of a dated location are past their time to live."""
    _, partition, number = location.split("/")
    if partition == UNDATED:
        return False
    return (int(number) + 1) * SLICE_DURATION_S + ttl_s < now_s
