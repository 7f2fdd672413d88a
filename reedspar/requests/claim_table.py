"""Table of the claim records of one location, and its state transitions.

Claims and updates are idempotent, so if the response to a batch's write is lost,
the batch can be applied again to the value that is then read.
"""

from dataclasses import dataclass, field, replace

from reedspar.messages.registry import MessageType

from .messages import (
    ClaimRecord,
    ClaimReply,
    ClaimRequest,
    ClaimSlice,
    ClaimState,
    ClaimUpdate,
    ClaimVerdict,
)

__all__ = ["ClaimTable", "make_reply"]

SLICE_MAX_BYTES = 900_000
"""Limit of a slice: values may have 1 MiB, and their encoding needs some of it."""
RECORD_OVERHEAD_BYTES = 260
"""Approximate size of a record without the headers and body of its answer."""
VERDICT_BY_STATE = {
    ClaimState.ANSWERED: ClaimVerdict.ANSWERED,
    ClaimState.NOT_KEPT: ClaimVerdict.UNKNOWN,
    ClaimState.UNKNOWN: ClaimVerdict.UNKNOWN,
    ClaimState.RELEASED: ClaimVerdict.UNAVAILABLE,
}


def make_reply(
    token: str,
    verdict: ClaimVerdict,
    detail: str = "",
    record: ClaimRecord | None = None,
) -> ClaimReply:
    """Return a reply, which includes the answer stored in `record` if given."""
    if record is None:
        return ClaimReply(token, verdict, 0, (), b"", "", detail)
    return ClaimReply(
        token,
        verdict,
        record.status,
        record.headers,
        record.body,
        record.weights_digest,
        detail,
    )


@dataclass(slots=True)
class ClaimTable:
    """The records of one location."""

    ttl_s: float
    running_timeout_s: float
    """Age up to which a claimed order may still be running."""
    records: dict[str, ClaimRecord] = field(default_factory=dict)
    size_bytes: int = 0
    _encoded: dict[str, bytes] = field(default_factory=dict)

    def copy(self) -> "ClaimTable":
        """Return an independent copy."""
        return replace(self, records=dict(self.records), _encoded=dict(self._encoded))

    def load(self, value: ClaimSlice, codec: MessageType) -> None:
        """Add the records of a value that was read."""
        for encoded in value.records:
            record: ClaimRecord = codec.decode(encoded)
            self._put(record)
            self._encoded[record.claim_key] = encoded

    def to_slice(self, codec: MessageType) -> ClaimSlice:
        """Return the value to write."""
        for key, record in self.records.items():
            if key not in self._encoded:
                self._encoded[key] = codec.encode(record)
        return ClaimSlice(tuple(self._encoded.values()))

    def claim(self, request: ClaimRequest, now_s: float) -> tuple[ClaimReply, bool]:
        """Apply a claim at Unix time `now_s`.

        Return the reply, and whether the table changed.
        """
        record = self.records.get(request.claim_key)
        if record is None:
            return self._grant(request, now_s)
        if record.token == request.token:
            return self._reply_to_own_token(request, record), False
        if record.claimed_at_s + self.ttl_s < now_s:
            return make_reply(request.token, ClaimVerdict.EXPIRED), False
        if record.state is ClaimState.RELEASED:
            return self._grant(request, now_s)
        if record.payload != request.payload:
            return make_reply(request.token, ClaimVerdict.MISMATCH), False
        return self._reply_to_repeat(request, record, now_s), False

    def update(self, update: ClaimUpdate, now_s: float) -> bool:
        """Record how a claimed order ended; return whether the table changed.

        Only an update with the record's token applies, and only once, so that a
        delayed or reordered update can't end a different claim.
        """
        record = self.records.get(update.claim_key)
        if record is None and update.state is ClaimState.RELEASED:
            return self._write_release(update, now_s)
        if record is None or record.token != update.token:
            return False
        if record.state is not ClaimState.CLAIMED:
            return False
        ended = replace(
            record,
            state=update.state,
            status=update.status,
            headers=update.headers,
            body=update.body,
            weights_digest=update.weights_digest,
        )
        if self.size_bytes + _size_of(ended) > SLICE_MAX_BYTES:
            is_answered = update.state is ClaimState.ANSWERED
            state = ClaimState.NOT_KEPT if is_answered else update.state
            ended = replace(record, state=state)
        self._put(ended)
        return True

    def _grant(self, request: ClaimRequest, now_s: float) -> tuple[ClaimReply, bool]:
        if self.size_bytes + RECORD_OVERHEAD_BYTES > SLICE_MAX_BYTES:
            detail = "too many orders at once"
            reply = make_reply(request.token, ClaimVerdict.UNAVAILABLE, detail)
            return reply, False
        self._put(
            ClaimRecord(
                request.claim_key,
                request.token,
                request.payload,
                ClaimState.CLAIMED,
                now_s,
            )
        )
        return make_reply(request.token, ClaimVerdict.GRANTED), True

    def _reply_to_own_token(
        self, request: ClaimRequest, record: ClaimRecord
    ) -> ClaimReply:
        """Reply to a repeated request of the claim that holds the record.

        A request that arrives after its own release must not be granted: its
        entry has already told the caller that the order was not run.
        """
        if record.state is ClaimState.CLAIMED:
            return make_reply(request.token, ClaimVerdict.GRANTED)
        return make_reply(request.token, VERDICT_BY_STATE[record.state], record=record)

    def _reply_to_repeat(
        self, request: ClaimRequest, record: ClaimRecord, now_s: float
    ) -> ClaimReply:
        if record.state is ClaimState.CLAIMED:
            is_running = now_s - record.claimed_at_s < self.running_timeout_s
            verdict = ClaimVerdict.RUNNING if is_running else ClaimVerdict.UNKNOWN
            return make_reply(request.token, verdict)
        verdict = VERDICT_BY_STATE[record.state]
        detail = "answered, but the answer was too large to keep"
        is_kept = record.state is not ClaimState.NOT_KEPT
        return make_reply(request.token, verdict, "" if is_kept else detail, record)

    def _write_release(self, update: ClaimUpdate, now_s: float) -> bool:
        """Write the release of a claim that has not been written yet.

        The claim's own write may still be in transit after its response was
        lost, and would block the key permanently.  This write changes the
        revision that the claim's write expects, so that it fails.
        """
        released = ClaimRecord(
            update.claim_key, update.token, "", ClaimState.RELEASED, now_s
        )
        self._put(released)
        return True

    def _put(self, record: ClaimRecord) -> None:
        old = self.records.get(record.claim_key)
        if old is not None:
            self.size_bytes -= _size_of(old)
        self.records[record.claim_key] = record
        self._encoded.pop(record.claim_key, None)
        self.size_bytes += _size_of(record)


def _size_of(record: ClaimRecord) -> int:
    headers = sum(len(item.name) + len(item.value) + 32 for item in record.headers)
    return RECORD_OVERHEAD_BYTES + headers + len(record.body)
