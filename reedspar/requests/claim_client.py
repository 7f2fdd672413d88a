"""Client for claims: asks the partition's owner, or writes the claim directly.

The owner of a partition is the first entry by rendezvous hashing.  If the owner
does not reply, this entry writes the claim itself under the same token, which is
safe whether or not the owner has written it.
"""

from dataclasses import dataclass, field, replace

import anyio

from reedspar.links import Network
from reedspar.messages import Sender
from reedspar.timers import TimerService
from reedspar.utils import rank_by_rendezvous

from .claim_ledger import ClaimLedger
from .claim_locations import UNDATED, ClaimLocator, partition_of
from .claim_table import make_reply
from .messages import (
    ClaimReply,
    ClaimRequest,
    ClaimUpdate,
    ClaimUpdated,
    ClaimVerdict,
)
from .views import EntryDirectory

__all__ = ["ClaimClient"]

OWNER_TIMEOUT_S = 1.0
"""Time to wait for the owner's reply before the claim is written directly."""
DIRECT_CLAIM_TIMEOUT_S = 2.5
OWNER_EXCLUSION_S = 5.0
"""Time for which an owner that did not reply is not asked again."""
UPDATE_RETRY_INTERVAL_S = 1.0
UPDATE_DIRECT_AFTER_S = 3.0
"""Time after which an outcome that the owner did not confirm is written directly."""
PENDING_UPDATES_MAX = 10_000
"""Maximum number of outcomes waiting to be written.

The oldest ones are dropped beyond it; their orders' outcomes become unknown."""
WRITTEN_POLL_INTERVAL_S = 0.05


@dataclass(slots=True)
class _PendingClaim:
    event: anyio.Event = field(default_factory=anyio.Event)
    reply: ClaimReply | None = None


class ClaimClient:
    """Makes this entry's claims, and those that other entries forward to it."""

    def __init__(
        self,
        name: str,
        network: Network,
        timers: TimerService,
        ledger: ClaimLedger,
        entries: EntryDirectory,
    ) -> None:
        self._name = name
        self._network = network
        self._timers = timers
        self._ledger = ledger
        self._entries = entries
        self._pending_claims: dict[str, _PendingClaim] = {}
        self._pending_updates: dict[str, tuple[ClaimUpdate, float]] = {}
        self._excluded_since_s: dict[str, float] = {}
        self._last_reply_s: dict[str, float] = {}
        network.subscribe(ClaimRequest, self._on_request)
        network.subscribe(ClaimReply, self._on_owner_reply)
        network.subscribe(ClaimUpdate, self._on_update)
        network.subscribe(ClaimUpdated, self._on_updated)
        timers.call_every(UPDATE_RETRY_INTERVAL_S, self._send_updates)

    @property
    def pending_update_count(self) -> int:
        """Return the number of orders whose outcome is not known to be written."""
        return len(self._pending_updates)

    async def wait_written(self) -> None:
        """Wait until the outcomes of all orders are known to be written."""
        while self._pending_updates:
            await anyio.sleep(WRITTEN_POLL_INTERVAL_S)

    async def claim(
        self, locator: ClaimLocator, token: str, payload: str
    ) -> ClaimReply:
        """Return the reply to a claim; the order may run only if it is ``GRANTED``."""
        request = ClaimRequest(locator.claim_key, token, payload, locator.location)
        pending = self._pending_claims[token] = _PendingClaim()
        try:
            owner = self._owner_of(locator.location)
            was_owner_asked = False
            if owner != self._name and self._network.send(owner, request) is None:
                with anyio.move_on_after(OWNER_TIMEOUT_S):
                    await pending.event.wait()
                if pending.reply is not None:
                    return pending.reply
                self._exclude_owner(owner)
                was_owner_asked = True
            self._ledger.submit_claim(request, self._on_reply)
            with anyio.move_on_after(DIRECT_CLAIM_TIMEOUT_S):
                await pending.event.wait()
            return self._finish_claim(token, pending.reply, was_owner_asked)
        finally:
            del self._pending_claims[token]

    def _finish_claim(
        self, token: str, reply: ClaimReply | None, was_owner_asked: bool
    ) -> ClaimReply:
        if reply is None:
            detail = "no answer from the claims"
            return make_reply(token, ClaimVerdict.UNAVAILABLE, detail)
        # The owner that did not reply may still write the claim later.
        if reply.verdict is ClaimVerdict.NOT_WRITTEN and was_owner_asked:
            return replace(reply, verdict=ClaimVerdict.UNAVAILABLE)
        return reply

    def update(self, update: ClaimUpdate) -> None:
        """Record how the order ended, and retry until it is written."""
        if len(self._pending_updates) >= PENDING_UPDATES_MAX:
            del self._pending_updates[next(iter(self._pending_updates))]
        now_s = self._timers.now_s()
        self._pending_updates[update.token] = (update, now_s)
        self._send_update(update, now_s)

    def _owner_of(self, location: str) -> str:
        partition = partition_of(location)
        if partition == UNDATED:
            return self._name
        horizon_s = self._timers.now_s() - OWNER_EXCLUSION_S
        names = {
            entry.name
            for entry in self._entries.entries()
            if not entry.is_leaving
            and self._excluded_since_s.get(entry.name, horizon_s) <= horizon_s
        }
        return rank_by_rendezvous(f"claims/{partition}", names | {self._name})[0]

    def _exclude_owner(self, owner: str) -> None:
        """Stop asking an owner for a while, unless it recently replied to others.

        A slow key-value service delays every owner.  If all entries then wrote
        directly, their write conflicts would slow it down further.
        """
        now_s = self._timers.now_s()
        if now_s - self._last_reply_s.get(owner, -OWNER_EXCLUSION_S) > OWNER_TIMEOUT_S:
            self._excluded_since_s[owner] = now_s

    def _send_updates(self) -> None:
        for update, submitted_s in list(self._pending_updates.values()):
            self._send_update(update, submitted_s)

    def _send_update(self, update: ClaimUpdate, submitted_s: float) -> None:
        owner = self._owner_of(update.location)
        is_late = self._timers.now_s() - submitted_s > UPDATE_DIRECT_AFTER_S
        is_direct = owner == self._name or is_late
        if not is_direct and self._network.send(owner, update) is None:
            return
        token = update.token
        self._ledger.submit_update(update, lambda: self._remove_update(token))

    def _remove_update(self, token: str) -> None:
        self._pending_updates.pop(token, None)

    def _on_request(self, sender: Sender, request: ClaimRequest) -> None:
        def reply_to_sender(reply: ClaimReply) -> None:
            self._network.send(sender.name, reply)

        self._ledger.submit_claim(request, reply_to_sender)

    def _on_owner_reply(self, sender: Sender, reply: ClaimReply) -> None:
        self._last_reply_s[sender.name] = self._timers.now_s()
        self._on_reply(reply)

    def _on_reply(self, reply: ClaimReply) -> None:
        pending = self._pending_claims.get(reply.token)
        if pending is not None and pending.reply is None:
            pending.reply = reply
            pending.event.set()

    def _on_update(self, sender: Sender, update: ClaimUpdate) -> None:
        def confirm() -> None:
            self._network.send(sender.name, ClaimUpdated(update.token))

        self._ledger.submit_update(update, confirm)

    def _on_updated(self, sender: Sender, message: ClaimUpdated) -> None:
        self._remove_update(message.token)
