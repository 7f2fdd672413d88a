"""Waits until a store that did not answer may be called again."""

import random

import anyio

from .prefix_cache import PrefixCache

__all__ = ["StoreRetry"]

RETRY_DELAY_MIN_S = 0.3
RETRY_DELAY_MAX_S = 0.6
"""Bounds of the random delay between calls while the store is unavailable.

The end of an outage is noticed in time, and 15 daemons don't call simultaneously.  Only
one prefix retries for all, because refused calls count as calls."""


class StoreRetry:
    """Lets one prefix call an unavailable store again, and the others wait for it."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._retrying_cache: PrefixCache | None = None
        self._answered = anyio.Event()

    @property
    def retrying_cache(self) -> PrefixCache | None:
        """Return the cache of the prefix that calls the store again, if any."""
        return self._retrying_cache

    async def wait(self, cache: PrefixCache) -> None:
        """Wait until a prefix whose call has failed may be read again."""
        if self._retrying_cache is None:
            self._retrying_cache = cache
        if self._retrying_cache is cache:
            await self.pause()
        else:
            await self._answered.wait()

    async def pause(self) -> None:
        """Wait for the delay between two calls."""
        await anyio.sleep(self._rng.uniform(RETRY_DELAY_MIN_S, RETRY_DELAY_MAX_S))

    def end(self) -> None:
        """Let all waiting prefixes call the store, as it has answered."""
        if self._retrying_cache is not None:
            self._release()

    def hand_over(self, cache: PrefixCache) -> None:
        """Let another prefix retry if this one is no longer read from the store."""
        if self._retrying_cache is cache:
            self._release()

    def _release(self) -> None:
        self._retrying_cache = None
        self._answered.set()
        self._answered = anyio.Event()
