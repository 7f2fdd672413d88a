"""Failures as return values, with a reason, a step and the peer concerned.

Functions that can fail return their result or a `Failure`; exceptions of libraries
are caught where the library is called.  Members of `Reason` and `Step` are compared by
identity.
"""

from dataclasses import dataclass
from enum import Enum
from typing import TypeGuard

__all__ = ["Failure", "InvariantError", "Reason", "Step", "is_failure"]


class Reason(Enum):
    """The cause of a failure."""

    UNAVAILABLE = "unavailable"
    """The peer was unreachable or declined the operation, which had no effect."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """The operation may or may not have taken effect."""
    CONFLICT = "conflict"
    """A compare-and-swap or a patch is based on a stale revision."""
    NOT_FOUND = "not_found"
    INVALID = "invalid"
    """The input violates a rule, which is stated in the detail."""
    OVERLOADED = "overloaded"
    COLD = "cold"
    """The target is in cold start and can accept no more work now."""
    DRAINING = "draining"
    ZONE_OUT = "zone_out"
    STALE = "stale"
    """The sender or receiver lacks a recent confirmation of its configuration."""
    SUPERSEDED = "superseded"
    """The chosen target became ineligible, or would start the work too late."""
    FENCED = "fenced"
    """The order carried an outdated fencing number; a newer holder exists."""
    QUARANTINED = "quarantined"
    """Requests with the same fingerprint have crashed targets."""
    DUPLICATE = "duplicate"
    EXPIRED = "expired"
    """The deadline or the record's time to live has passed."""
    TIMEOUT = "timeout"
    CORRUPT = "corrupt"
    """A digest or a length did not match."""
    LOST = "lost"
    """The connection has gone silent; the peer may still receive what was sent."""
    CANCELLED = "cancelled"
    NO_TARGET = "no_target"
    """No target is available for the request."""
    UNAUTHENTICATED = "unauthenticated"
    """The caller's API key is unknown."""
    NOT_READY = "not_ready"
    """The process has not yet received the state that it needs to serve."""


class Step(Enum):
    """The step in which a failure occurred."""

    IDENTIFY = "identify"
    BOUND = "bound"
    CLASSIFY = "classify"
    DEDUPLICATE = "deduplicate"
    QUARANTINE = "quarantine"
    ADMIT = "admit"
    ROUTE = "route"
    RELAY = "relay"
    AGENT_ADMIT = "agent_admit"
    TARGET_CALL = "target_call"
    CLAIM = "claim"
    KEY_VALUE = "key_value"
    INSTANCE_LIST = "instance_list"
    CONFIGURE = "configure"
    MANIFEST = "manifest"
    ORIGIN_DRAW = "origin_draw"
    CHUNK_RELAY = "chunk_relay"
    CHUNK_CHECK = "chunk_check"
    LOAD = "load"
    CONFIRM = "confirm"
    OFFER = "offer"
    LINK = "link"
    SETTINGS = "settings"
    DRAIN = "drain"


@dataclass(frozen=True, slots=True)
class Failure:
    """A failed step, with the peer at which it failed and when to retry."""

    reason: Reason
    step: Step
    peer: str = ""
    detail: str = ""
    retry_after_s: float | None = None

    def __str__(self) -> str:
        where = f" at {self.peer}" if self.peer else ""
        what = f": {self.detail}" if self.detail else ""
        return f"{self.step.value} failed{where} ({self.reason.value}){what}"


class InvariantError(AssertionError):
    """A violated invariant."""


def is_failure(value: object) -> TypeGuard[Failure]:
    """Return whether a result is a failure."""
    return isinstance(value, Failure)
