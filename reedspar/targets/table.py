"""Keep what an agent knows of each attempt, so that none runs twice.

Attempts outlive connections: the answer is kept until the entry has it, and a
start, cancel or resume may come late, twice or crossed.  Whatever is said of
an attempt here is said for one incarnation of the agent only.
"""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field

from reedspar.attempts import (
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


@dataclass(frozen=True, slots=True)
class AttemptKey:
    """Names an attempt."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class AttemptRecord:
    """One attempt, and as much of its answer as the entry may still ask for."""

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
    hasher: "hashlib._Hash" = field(default_factory=hashlib.sha256)

    @property
    def length_bytes(self) -> int:
        """Return how much of the body the target has sent."""
        return self.data_offset + len(self.data)

    @property
    def unacknowledged_bytes(self) -> int:
        """Return how much of the body is kept."""
        return len(self.data)

    def append(self, data: bytes) -> None:
        """Take in more of the body."""
        self.data += data
        self.hasher.update(data)

    def read_from(self, offset: int) -> bytes | None:
        """Return the kept body from `offset` on, or None if it was let go."""
        if offset < self.data_offset:
            return None
        return bytes(self.data[offset - self.data_offset :])

    def acknowledge(self, offset: int) -> None:
        """Let go of the body before `offset`."""
        held = min(offset, self.length_bytes) - self.data_offset
        if held > 0:
            del self.data[:held]
            self.data_offset += held

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
        """Return the incarnation that this table speaks for."""
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
        """Return the attempts whose answer the entry may still be missing."""
        records = self._records.values()
        return [r for r in records if r.end is not None and r.start is not None]

    def open(self, entry: str, start: AttemptStart, now_s: float) -> AttemptRecord:
        """Make the record of a new attempt; the caller has found none."""
        key = AttemptKey(start.request_id, start.attempt)
        if key in self._records:
            raise InvariantError(f"attempt {key} opened twice")
        record = AttemptRecord(
            key, entry, start, AttemptPhase.QUEUED, now_s + start.timeout_s
        )
        self._records[key] = record
        return record

    def note_running(self, record: AttemptRecord) -> None:
        """Take in that the attempt is handed to the target; only ever once."""
        if record.phase is not AttemptPhase.QUEUED:
            raise InvariantError(f"attempt {record.key} runs from {record.phase}")
        record.phase = AttemptPhase.RUNNING

    def refuse(
        self, record: AttemptRecord, reason: Reason, detail: str, retry_after_s: float
    ) -> AttemptRefused:
        """Revoke an attempt that has not started; it never will."""
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
        """Answer a cancel for an attempt that is not known here.

        Its start may still be on its way, on another connection.  Without the
        record made here it would run after the caller was told that it had
        not.  An attempt that was handed to another incarnation may have run
        there, so nothing is proved and nothing is recorded.
        """
        if incarnation != self._incarnation:
            return AttemptStatus(request_id, attempt, AttemptPhase.UNKNOWN, 0)
        key = AttemptKey(request_id, attempt)
        record = AttemptRecord(key, entry, None, AttemptPhase.QUEUED, now_s)
        self._records[key] = record
        return self.refuse(record, Reason.CANCELLED, "before it came", 0.0)

    def acknowledge(self, ack: AttemptAck) -> AttemptRecord | None:
        """Let go of what the entry has; return the record, if there is one."""
        record = self.get(ack.request_id, ack.attempt)
        if record is None:
            return None
        record.acknowledge(ack.offset)
        if ack.is_complete and record.phase is AttemptPhase.FINISHED:
            record.start = None
            record.data.clear()
        return record

    def forget_expired(self, now_s: float) -> None:
        """Forget ended attempts whose time to live has passed."""
        for key in list(self._ended):
            record = self._records[key]
            if record.expires_s == float("inf"):
                record.expires_s = now_s + self._answer_ttl_s
            too_many = len(self._ended) > ENDED_ATTEMPTS_MAX
            if record.expires_s > now_s and not too_many:
                continue
            del self._records[key]
            del self._ended[key]

    def _mark_ended(self, record: AttemptRecord) -> None:
        self._ended[record.key] = None
