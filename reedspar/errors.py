"""Failures as values: a sentinel reason, and the step and peer at which it arose.

Functions that can fail return their result or a `Failure`; exceptions stay at
the borders of libraries.  `Reason` and `Step` members are the sentinels that
callers compare by identity.
"""

from dataclasses import dataclass
from enum import Enum
from typing import TypeGuard

__all__ = ["Failure", "InvariantError", "Reason", "Step", "is_failure"]


class Reason(Enum):
    """Why something failed."""

    UNAVAILABLE = "unavailable"
    """Nothing took effect; the peer could not be reached or declined."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """It may or may not have taken effect."""
    CONFLICT = "conflict"
    """A compare-and-swap or a patch named a stale revision."""
    NOT_FOUND = "not_found"
    INVALID = "invalid"
    """The input breaks a rule; the detail says which."""
    OVERLOADED = "overloaded"
    COLD = "cold"
    """The target is in cold start and bears no more now."""
    DRAINING = "draining"
    ZONE_OUT = "zone_out"
    STALE = "stale"
    """The sender or receiver has no fresh confirmation of the configuration."""
    SUPERSEDED = "superseded"
    """What was chosen may not begin work any more: news or time have overtaken it."""
    FENCED = "fenced"
    """A newer holder exists; the order carried an old fencing number."""
    QUARANTINED = "quarantined"
    """The request's fingerprint crashed targets before."""
    DUPLICATE = "duplicate"
    EXPIRED = "expired"
    """The deadline or the record's time to live has passed."""
    TIMEOUT = "timeout"
    CORRUPT = "corrupt"
    """A digest or a length did not match."""
    CANCELLED = "cancelled"
    NO_TARGET = "no_target"
    """No target is offered for what was asked."""
    UNAUTHENTICATED = "unauthenticated"
    """The caller's key is not known."""
    NOT_READY = "not_ready"
    """The process has not yet learned what it needs to serve."""


class Step(Enum):
    """Where a failure arose."""

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
    """A failed step, with the peer it failed at and when to come back."""

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
    """An invariant that must always hold was broken."""


def is_failure(value: object) -> TypeGuard[Failure]:
    """Tell whether a result is a failure."""
    return isinstance(value, Failure)
