"""Keep a number of streams open to one URL, and count the tokens that arrive.

`bench.streams` runs several workers as processes, so that they use several cores.
"""

import argparse
import json
import time
from dataclasses import dataclass, field

import anyio
import httpx

from stand_ins.clients import create_trial_client

__all__ = ["main"]

EVENT_PREFIX = b"data: "
DEFAULT_RETRY_DELAY_S = 1.0
WARM_UP_TOKENS = 10
FULL_LENGTH_LEAD_S = 3.0
"""Time before the counting period from which streams have their full length."""


@dataclass
class Tally:
    """Events and failures within the counting period."""

    from_s: float
    until_s: float
    events: int = 0
    failures: list[str] = field(default_factory=list)

    def record_failure(self, detail: str) -> None:
        """Count a failure if it is within the counting period."""
        if self.from_s <= time.monotonic() < self.until_s:
            self.failures.append(detail)


async def read_streams(
    client: httpx.AsyncClient, arguments: argparse.Namespace, number: int, tally: Tally
) -> None:
    """Read streams one after another until the counting period is over."""
    round_number = 0
    while time.monotonic() < tally.until_s:
        round_number += 1
        is_full_length = time.monotonic() >= tally.from_s - FULL_LENGTH_LEAD_S
        body = {
            "model": arguments.model,
            "prompt": f"stream {number} {round_number}",
            "max_tokens": arguments.tokens if is_full_length else WARM_UP_TOKENS,
            "stream": True,
        }
        headers = {"x-workspace": f"workspace-{number % 10}"}
        try:
            async with client.stream(
                "POST", arguments.url, json=body, headers=headers
            ) as response:
                if response.status_code != httpx.codes.OK:
                    await response.aread()
                    tally.record_failure(response.text[:200])
                    await anyio.sleep(read_retry_delay_s(response))
                    continue
                await count_events(response, tally)
        except httpx.HTTPError as error:
            tally.record_failure(repr(error))


def read_retry_delay_s(response: httpx.Response) -> float:
    """Return the retry delay that the refusal asks for, in seconds."""
    return float(response.headers.get("retry-after", DEFAULT_RETRY_DELAY_S))


async def count_events(response: httpx.Response, tally: Tally) -> None:
    """Count the events that arrive within the counting period."""
    async for data in response.aiter_raw():
        now_s = time.monotonic()
        if now_s >= tally.until_s:
            return
        if now_s >= tally.from_s:
            tally.events += data.count(EVENT_PREFIX)


async def run(arguments: argparse.Namespace) -> None:
    """Run all streams and print the tally."""
    start_s = time.monotonic() + arguments.warm_s
    tally = Tally(start_s, start_s + arguments.seconds)
    async with (
        create_trial_client(60.0) as client,
        anyio.create_task_group() as tasks,
    ):
        for number in range(arguments.streams):
            tasks.start_soon(read_streams, client, arguments, number, tally)
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
