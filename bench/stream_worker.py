"""Hold streams open against one address, and count the tokens that arrive.

A process of its own, so that several clients don't share one processor.
"""

import argparse
import json
import time
from dataclasses import dataclass, field

import anyio
import httpx

from stand_ins.clients import create_trial_client

__all__ = ["main"]

EVENT = b"data: "
RETRY_S = 1.0
SHORT_TOKENS = 10
LONG_BEFORE_S = 3.0
"""How long before the time that counts the streams get their full length."""


@dataclass
class Tally:
    """Events in the time that counts, and what went wrong."""

    from_s: float
    until_s: float
    events: int = 0
    failures: list[str] = field(default_factory=list)

    def note_failure(self, detail: str) -> None:
        """Count a failure, if it falls into the time that counts."""
        if self.from_s <= time.monotonic() < self.until_s:
            self.failures.append(detail)


async def hold_stream(
    client: httpx.AsyncClient, arguments: argparse.Namespace, number: int, tally: Tally
) -> None:
    """Read streams one after the other until the time is over."""
    round_number = 0
    while time.monotonic() < tally.until_s:
        round_number += 1
        is_warm = time.monotonic() >= tally.from_s - LONG_BEFORE_S
        body = {
            "model": arguments.model,
            "prompt": f"stream {number} {round_number}",
            "max_tokens": arguments.tokens if is_warm else SHORT_TOKENS,
            "stream": True,
        }
        headers = {"x-workspace": f"workspace-{number % 10}"}
        try:
            async with client.stream(
                "POST", arguments.url, json=body, headers=headers
            ) as response:
                if response.status_code != httpx.codes.OK:
                    await response.aread()
                    tally.note_failure(response.text[:200])
                    await anyio.sleep(read_retry_s(response))
                    continue
                await count_events(response, tally)
        except httpx.HTTPError as error:
            tally.note_failure(repr(error))


def read_retry_s(response: httpx.Response) -> float:
    """Return when the refusal says to come back."""
    return float(response.headers.get("retry-after", RETRY_S))


async def count_events(response: httpx.Response, tally: Tally) -> None:
    """Count events that arrive in the time that counts."""
    async for piece in response.aiter_raw():
        now_s = time.monotonic()
        if now_s >= tally.until_s:
            return
        if now_s >= tally.from_s:
            tally.events += piece.count(EVENT)


async def run(arguments: argparse.Namespace) -> None:
    """Run all streams and print the tally."""
    start_s = time.monotonic() + arguments.warm_s
    tally = Tally(start_s, start_s + arguments.seconds)
    async with (
        create_trial_client(60.0) as client,
        anyio.create_task_group() as tasks,
    ):
        for number in range(arguments.streams):
            tasks.start_soon(hold_stream, client, arguments, number, tally)
    print(
        json.dumps(
            {
                "tokens": tally.events,
                "seconds": arguments.seconds,
                "failures": len(tally.failures),
                "first_failures": tally.failures[:3],
            }
        )
    )


def main() -> None:
    """Run one worker."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--url", required=True)
    parser.add_argument("--model", required=True)
    parser.add_argument("--streams", type=int, required=True)
    parser.add_argument("--tokens", type=int, default=200)
    parser.add_argument("--warm-s", type=float, default=2.0)
    parser.add_argument("--seconds", type=float, default=5.0)
    anyio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()
