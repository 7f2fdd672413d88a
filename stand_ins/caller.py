"""A caller that looks up entry addresses, caches them and connects to them directly.

Checks that each call gets the complete answer to its own request or a defined outcome.
"""

import hashlib
import json
import random
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

import httpx

from .clients import create_trial_client
from .generation import expect_text

__all__ = ["Call", "CallKind", "Caller", "Ending"]

CONNECT_TIMEOUT_S = 1.0
ADDRESS_LOOKUP_TIMEOUT_S = 2.0
RESPONSE_GRACE_S = 5.0
"""Added to the deadline before a caller gives up on an entry that stays silent."""


class CallKind(Enum):
    """Kind of a call."""

    QUOTE = "quote"
    STREAM = "stream"
    ORDER = "order"
    STATUS = "status"


class Ending(Enum):
    """How a call ended for its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CUT = "cut"
    """The connection to the entry broke or stayed silent past the deadline."""
    NO_ENTRY = "no-entry"
    """No address accepted the connection, so no request was sent."""


@dataclass
class Call:
    """One call and its outcome."""

    kind: CallKind
    key: str
    started_at: float = field(default_factory=time.time)
    ended_at: float = 0.0
    first_byte_s: float = 0.0
    entry: str = ""
    status: int = 0
    ending: Ending = Ending.NO_ENTRY
    digest: str = ""
    detail: str = ""
    problem: str = ""
    """How the answer is wrong; empty if it is correct."""

    @property
    def latency_s(self) -> float:
        """Return the duration of the call."""
        return self.ended_at - self.started_at

    def describe(self) -> str:
        """Return a one-line summary."""
        return (
            f"{self.started_at:.3f} {self.kind.value} {self.key} at {self.entry}: "
            f"{self.ending.value} {self.status} after {self.latency_s:.3f} s "
            f"{self.detail} {self.problem}"
        )


class Caller:
    """Sends calls of one workspace through addresses that the given entries return."""

    def __init__(
        self, entry_urls: Iterable[str], workspace: str, seed: int, deadline_s: float
    ) -> None:
        self._entry_urls = list(entry_urls)
        self._workspace = workspace
        self._rng = random.Random(seed)
        self._deadline_s = deadline_s
        self._addresses: list[str] = []
        self._addresses_expire_s = 0.0
        self._client = create_trial_client(
            httpx.Timeout(deadline_s + RESPONSE_GRACE_S, connect=CONNECT_TIMEOUT_S)
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def quote(
        self, pool: str, model: str, prompt: str, max_tokens: int, *, stream: bool
    ) -> Call:
        """Request a completion and check its text against the weights it names."""
        call = Call(CallKind.STREAM if stream else CallKind.QUOTE, prompt)
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": stream,
        }
        path = f"/v1/pools/{pool}/v1/completions"
        answer = await self._call(call, "POST", path, json.dumps(body).encode(), {})
        if call.ending is Ending.ANSWERED and call.status == httpx.codes.OK:
            call.problem = check_text(call, answer, prompt, max_tokens, stream=stream)
        return call

    async def order(
        self, pool: str, order_id: str, body: bytes, *, has_key: bool
    ) -> Call:
        """Place an order; `has_key` sends its id as the idempotency key."""
        call = Call(CallKind.ORDER, order_id)
        name = "idempotency-key" if has_key else "x-order-id"
        headers = {name: order_id}
        answer = await self._call(
            call, "POST", f"/v1/pools/{pool}/orders", body, headers
        )
        if call.ending is Ending.ANSWERED and call.status == httpx.codes.OK:
            call.problem = check_confirmation(answer, order_id, body)
        return call

    async def read_status(self, pool: str, order_id: str) -> Call:
        """Read the status of an order, an idempotent call."""
        key = f"status-{order_id}"
        call = Call(CallKind.STATUS, key)
        headers = {"x-order-id": key}
        path = f"/v1/pools/{pool}/orders/{order_id}"
        answer = await self._call(call, "GET", path, b"", headers)
        if call.ending is Ending.ANSWERED and call.status == httpx.codes.OK:
            call.problem = check_confirmation(answer, key, b"")
        return call

    async def _call(
        self, call: Call, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> bytes:
        """Try addresses in order until one accepts the connection."""
        sent = {
            "x-workspace": self._workspace,
            "x-deadline-s": str(self._deadline_s),
            "content-type": "application/json",
            **headers,
        }
        answer = b""
        for address in await self._get_addresses():
            call.entry = address
            request = self._client.build_request(
                method, address + path, content=body, headers=sent
            )
            try:
                answer = await self._exchange(call, request)
            except (httpx.ConnectError, httpx.ConnectTimeout) as error:
                call.detail = repr(error)
                self._addresses_expire_s = 0.0
                continue
            except httpx.HTTPError as error:
                call.ending = Ending.CUT
                call.detail = repr(error)
            break
        call.ended_at = time.time()
        return answer

    async def _exchange(self, call: Call, request: httpx.Request) -> bytes:
        pieces: list[bytes] = []
        response = await self._client.send(request, stream=True)
        try:
            call.status = response.status_code
            call.digest = response.headers.get("x-weights-digest", "")
            async for piece in response.aiter_raw():
                if not pieces:
                    call.first_byte_s = time.time() - call.started_at
                pieces.append(piece)
        finally:
            await response.aclose()
        outcome = response.headers.get("x-reedspar-outcome", "")
        answer = b"".join(pieces)
        call.detail = (
            answer[:300].decode(errors="replace") if call.status >= 400 else ""
        )
        try:
            call.ending = Ending(outcome)
        except ValueError:
            call.ending = Ending.UNKNOWN
            call.problem = f"no outcome with status {call.status}: {outcome!r}"
        return answer

    async def _get_addresses(self) -> list[str]:
        """Return the cached addresses, looked up again once they have expired."""
        if time.monotonic() < self._addresses_expire_s:
            return self._addresses
        for url in self._rng.sample(self._entry_urls, len(self._entry_urls)):
            try:
                response = await self._client.get(
                    f"{url}/v1/addresses",
                    headers={"x-workspace": self._workspace},
                    timeout=ADDRESS_LOOKUP_TIMEOUT_S,
                )
                answer = response.json()
                addresses = answer["addresses"]
            except (httpx.HTTPError, ValueError, KeyError):
                continue
            if addresses:
                self._addresses = addresses
                self._addresses_expire_s = time.monotonic() + answer["ttl_s"]
                break
        return self._addresses


def check_text(
    call: Call, answer: bytes, prompt: str, max_tokens: int, *, stream: bool
) -> str:
    """Return how the text differs from the named weights' text; empty if it doesn't."""
    if not call.digest:
        return "the answer does not name its weights"
    try:
        text = parse_stream(answer) if stream else parse_plain_answer(answer)
    except (ValueError, KeyError, IndexError) as error:
        return f"the answer can't be parsed: {error!r}: {answer[-80:]!r}"
    if text != expect_text(prompt, call.digest, max_tokens):
        return f"not the complete text of {call.digest[:12]}: {text[:60]!r} ..."
    return ""


def parse_plain_answer(answer: bytes) -> str:
    """Return the text of an answer that is not streamed."""
    return str(json.loads(answer)["choices"][0]["text"])


def parse_stream(answer: bytes) -> str:
    """Return the text of a stream; raise `ValueError` if it has no end marker."""
    events = [line.removeprefix(b"data: ") for line in answer.split(b"\n\n") if line]
    if not events or events[-1] != b"[DONE]":
        raise ValueError("no end marker")
    texts = (json.loads(event)["choices"][0]["text"] for event in events[:-1])
    return "".join(texts)


def check_confirmation(answer: bytes, order_id: str, body: bytes) -> str:
    """Return how the confirmation differs from this order's; empty if it doesn't."""
    try:
        confirmation = json.loads(answer)
    except ValueError:
        return f"the confirmation can't be parsed: {answer[:80]!r}"
    expected = (order_id, hashlib.sha256(body).hexdigest())
    got = (confirmation.get("order_key"), confirmation.get("body_digest"))
    return "" if got == expected else f"confirmation of another order: {got}"
