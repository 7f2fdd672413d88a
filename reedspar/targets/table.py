"""Table of an agent's attempts, which ensures that none runs twice.

Attempts outlive connections: the answer is kept until the entry has it, and a start,
cancel or resume message may arrive late, twice or out of order.  The table covers a
single incarnation of the agent.
"""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field

from reedspar.attempts import (
    CRASH_AFTER_BEGIN_MAX_S,
    AttemptAck,
    AttemptEnd,
    AttemptHead,
    AttemptPhase,
    AttemptRefused,
    AttemptStart,
    AttemptStatus,
    EndKind,
)
from reedspar.errors import InvariantError, Reason

__all__ = ["AttemptKey", "AttemptRecord", "AttemptTable"]

ENDED_ATTEMPTS_MAX = 100_000
"""Ended attempts above which the oldest are removed before their time to live ends."""


@dataclass(frozen=True, slots=True)
class AttemptKey:
    """Identifies an attempt."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class AttemptRecord:
    """One attempt, with the part of its answer that the entry may still request."""

    key: AttemptKey
    entry: str
    start: AttemptStart | None
    phase: AttemptPhase
    deadline_s: float
    expires_s: float = float("inf")
    head: AttemptHead | None = None
    end: AttemptEnd | None = None
    refusal: AttemptRefused | None = None
    data: bytearray = field(default_factory=bytearray)
    data_offset: int = 0
    first_data_s: float | None = None
    """Time when the first bytes of the body arrived, None before."""
    hasher: "hashlib._Hash" = field(default_factory=hashlib.sha256)

    def may_crash_target(self, now_s: float) -> bool:
        """Return whether a crash now may be caused by this attempt."""
        begun_s = self.first_data_s
        return begun_s is None or now_s - begun_s < CRASH_AFTER_BEGIN_MAX_S

    @property
    def length_bytes(self) -> int:
        """Return the number of body bytes received from the target."""
        return self.data_offset + len(self.data)

    @property
    def unacknowledged_bytes(self) -> int:
        """Return the number of body bytes kept for the entry."""
        return len(self.data)

    def append(self, data: bytes) -> None:
        """Append received body bytes."""
        self.data += data
        self.hasher.update(data)

    def read_from(self, offset: int) -> bytes | None:
        """Return the kept body from `offset` on, or None if it was discarded."""
        if offset < self.data_offset:
            return None
        return bytes(self.data[offset - self.data_offset :])

    def acknowledge(self, offset: int) -> None:
        """Discard the body before `offset`."""
        discarded_bytes = min(offset, self.length_bytes) - self.data_offset
        if discarded_bytes > 0:
            del self.data[:discarded_bytes]
            self.data_offset += discarded_bytes

    def describe(self) -> AttemptStatus:
        """Return the status message."""
        key = self.key
        return AttemptStatus(key.request_id, key.attempt, self.phase, self.length_bytes)


class AttemptTable:
    """The attempts of one agent incarnation."""

    def __init__(self, incarnation: int, answer_ttl_s: float) -> None:
        self._incarnation = incarnation
        self._answer_ttl_s = answer_ttl_s
        self._records: dict[AttemptKey, AttemptRecord] = {}
        self._ended: OrderedDict[AttemptKey, None] = OrderedDict()

    @property
    def incarnation(self) -> int:
        """Return the agent incarnation that the attempts belong to."""
        return self._incarnation

    def __len__(self) -> int:
        return len(self._records)

    def get(self, request_id: str, attempt: int) -> AttemptRecord | None:
        """Return the record of an attempt."""
        return self._records.get(AttemptKey(request_id, attempt))

    def unfinished(self) -> list[AttemptRecord]:
        """Return the attempts that are queued or running."""
        phases = (AttemptPhase.QUEUED, AttemptPhase.RUNNING)
        return [r for r in self._records.values() if r.phase in phases]

    def undelivered(self) -> list[AttemptRecord]:
        """Return the ended attempts whose answer is not yet acknowledged."""
        records = self._records.values()
        return [r for r in records if r.end is not None and r.start is not None]

    def open(self, entry: str, start: AttemptStart, now_s: float) -> AttemptRecord:
        """Create the record of a new attempt; there must be none yet."""
        key = AttemptKey(start.request_id, start.attempt)
        if key in self._records:
            raise InvariantError(f"attempt {key} opened twice")
        record = AttemptRecord(
            key, entry, start, AttemptPhase.QUEUED, now_s + start.timeout_s
        )
        self._records[key] = record
        return record

    def mark_running(self, record: AttemptRecord) -> None:
        """Mark an attempt as sent to the target; this happens at most once."""
        if record.phase is not AttemptPhase.QUEUED:
            raise InvariantError(f"attempt {record.key} runs from {record.phase}")
        record.phase = AttemptPhase.RUNNING

    def refuse(
        self, record: AttemptRecord, reason: Reason, detail: str, retry_after_s: float
    ) -> AttemptRefused:
        """Revoke an attempt that has not started, so that it never does."""
        if record.phase is not AttemptPhase.QUEUED:
            raise InvariantError(f"attempt {record.key} refused from {record.phase}")
        record.phase = AttemptPhase.REVOKED
        key = record.key
        refusal = AttemptRefused(
            key.request_id, key.attempt, reason, detail, retry_after_s
        )
        record.refusal = refusal
        record.start = None
        self._mark_ended(record)
        return refusal

    def finish(
        self, record: AttemptRecord, kind: EndKind, reason: Reason, detail: str
    ) -> AttemptEnd:
        """End an attempt that ran; its answer is kept for resumption."""
        if record.phase is not AttemptPhase.RUNNING:
            raise InvariantError(f"attempt {record.key} ends from {record.phase}")
        record.phase = AttemptPhase.FINISHED
        key = record.key
        record.end = AttemptEnd(
            key.request_id,
            key.attempt,
            kind,
            record.length_bytes,
            record.hasher.hexdigest(),
            reason,
            detail,
        )
        self._mark_ended(record)
        return record.end

    def revoke_unknown(
        self, request_id: str, attempt: int, entry: str, incarnation: int, now_s: float
    ) -> AttemptRefused | AttemptStatus:
        """Answer a cancel for an unknown attempt.

        Its start may still arrive on another connection.  The record created here
        keeps it from running after the caller was told that it did not run.  An
        attempt sent to another incarnation of the agent may have run there, so its
        status is unknown and nothing is recorded.
        """
        if incarnation != self._incarnation:
            return AttemptStatus(request_id, attempt, AttemptPhase.UNKNOWN, 0)
        key = AttemptKey(request_id, attempt)
        record = AttemptRecord(key, entry, None, AttemptPhase.QUEUED, now_s)
        self._records[key] = record
        return self.refuse(record, Reason.CANCELLED, "before it came", 0.0)

    def acknowledge(self, ack: AttemptAck) -> AttemptRecord | None:
        """Discard acknowledged bytes; return the record, or None if there is none."""
        record = self.get(ack.request_id, ack.attempt)
        if record is None:
            return None
        record.acknowledge(ack.offset)
        if ack.is_complete and record.phase is AttemptPhase.FINISHED:
            record.start = None
            record.data.clear()
        return record

    def remove_expired(self, now_s: float) -> None:
        """Remove ended attempts whose time to live has passed."""
        for key in list(self._ended):
            record = self._records[key]
            if record.expires_s == float("inf"):
                record.expires_s = now_s + self._answer_ttl_s
            is_over_limit = len(self._ended) > ENDED_ATTEMPTS_MAX
            if record.expires_s > now_s and not is_over_limit:
                continue
            del self._records[key]
            del self._ended[key]

    def _mark_ended(self, record: AttemptRecord) -> None:
        self._ended[record.key] = None
