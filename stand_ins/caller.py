"""A caller as the brief has it: asks for addresses, keeps them, connects itself.

Each call is checked: the whole answer to its own request, or a clear ending.
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

DIAL_TIMEOUT_S = 1.0
ADDRESS_TIMEOUT_S = 2.0
SLACK_S = 5.0
"""Beyond the deadline, after which a caller gives up on an entry."""


class CallKind(Enum):
    """What is called."""

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
    """The connection to the entry broke, or stayed silent past the deadline."""
    NO_ENTRY = "no-entry"
    """No address took the connection: nothing was handed over."""


@dataclass
class Call:
    """One call, and what came of it."""

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
    """The promise that the answer broke; empty if none."""

    @property
    def latency_s(self) -> float:
        """Return the time from start to end."""
        return self.ended_at - self.started_at

    def describe(self) -> str:
        """Return one line."""
        return (
            f"{self.started_at:.3f} {self.kind.value} {self.key} at {self.entry}: "
            f"{self.ending.value} {self.status} after {self.latency_s:.3f} s "
            f"{self.detail} {self.problem}"
        )


class Caller:
    """Calls through the entries that it is told to use."""

    def __init__(
        self, entry_urls: Iterable[str], workspace: str, seed: int, deadline_s: float
    ) -> None:
        self._entry_urls = list(entry_urls)
        self._workspace = workspace
        self._rng = random.Random(seed)
        self._deadline_s = deadline_s
        self._addresses: list[str] = []
        self._expires_s = 0.0
        self._client = create_trial_client(
            httpx.Timeout(deadline_s + SLACK_S, connect=DIAL_TIMEOUT_S)
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def quote(
        self, pool: str, model: str, prompt: str, max_tokens: int, *, stream: bool
    ) -> Call:
        """Ask the model for text, and check it against its weights."""
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
        """Place an order; `has_key` sends its id as an idempotency key."""
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
        """Ask for the status of an order, which is idempotent."""
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
        """Try addresses in order until one takes the connection."""
        sent = {
            "x-workspace": self._workspace,
            "x-deadline-s": str(self._deadline_s),
            "content-type": "application/json",
            **headers,
        }
        answer = b""
        for address in await self._find_addresses():
            call.entry = address
            request = self._client.build_request(
                method, address + path, content=body, headers=sent
            )
            try:
                answer = await self._exchange(call, request)
            except (httpx.ConnectError, httpx.ConnectTimeout) as error:
                call.detail = repr(error)
                self._expires_s = 0.0
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

    async def _find_addresses(self) -> list[str]:
        """Return the addresses to use, asked anew once the answer has expired."""
        if time.monotonic() < self._expires_s:
            return self._addresses
        for url in self._rng.sample(self._entry_urls, len(self._entry_urls)):
            try:
                response = await self._client.get(
                    f"{url}/v1/addresses",
                    headers={"x-workspace": self._workspace},
                    timeout=ADDRESS_TIMEOUT_S,
                )
                answer = response.json()
                addresses = answer["addresses"]
            except (httpx.HTTPError, ValueError, KeyError):
                continue
            if addresses:
                self._addresses = addresses
                self._expires_s = time.monotonic() + answer["ttl_s"]
                break
        return self._addresses


def check_text(
    call: Call, answer: bytes, prompt: str, max_tokens: int, *, stream: bool
) -> str:
    """Return how the answer differs from the whole one of its weights, or nothing."""
    if not call.digest:
        return "the answer does not name its weights"
    try:
        text = read_stream(answer) if stream else read_plain(answer)
    except (ValueError, KeyError, IndexError) as error:
        return f"the answer can't be read: {error!r}: {answer[-80:]!r}"
    if text != expect_text(prompt, call.digest, max_tokens):
        return f"not the whole text of {call.digest[:12]}: {text[:60]!r} ..."
    return ""


def read_plain(answer: bytes) -> str:
    """Return the text of a plain answer."""
    return str(json.loads(answer)["choices"][0]["text"])


def read_stream(answer: bytes) -> str:
    """Return the text of a stream; raise `ValueError` if it has no end marker."""
    events = [line.removeprefix(b"data: ") for line in answer.split(b"\n\n") if line]
    if not events or events[-1] != b"[DONE]":
        raise ValueError("no end marker")
    texts = (json.loads(event)["choices"][0]["text"] for event in events[:-1])
    return "".join(texts)


def check_confirmation(answer: bytes, order_id: str, body: bytes) -> str:
    """Return how the confirmation differs from that of this order, or nothing."""
    try:
        confirmation = json.loads(answer)
    except ValueError:
        return f"the confirmation can't be read: {answer[:80]!r}"
    expected = (order_id, hashlib.sha256(body).hexdigest())
    got = (confirmation.get("order_key"), confirmation.get("body_digest"))
    return "" if got == expected else f"another order's confirmation: {got}"
