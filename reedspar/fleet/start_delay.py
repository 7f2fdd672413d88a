"""Computes how long a starting daemon waits for peers before it reads the store."""

import random
from dataclasses import dataclass

__all__ = ["StartDelay", "create_agent_delay", "create_entry_delay"]

ENTRY_QUIET_TIMEOUT_S = 0.6
"""Time without a message after which earlier groups are assumed to be absent."""
ENTRY_DELAY_MAX_S = 3.0
"""Maximum wait while daemons of earlier groups report that they are starting."""
GROUP_DELAY_STEP_S = 0.5
"""Additional maximum wait of each later group."""
AGENT_QUIET_TIMEOUT_S = 1.5
"""Like ENTRY_QUIET_TIMEOUT_S, for an agent, which asks one entry at a time."""
AGENT_DELAY_MAX_S = 6.0
EARLY_START_PROBABILITY = 0.25
EARLY_DELAY_MAX_S = 0.5
LATE_DELAY_MIN_S = 2.5
LATE_DELAY_MAX_S = 5.0
"""Bounds of the random delays of daemons that know no other entry of their region.

A share of them reads early.  The others wait long enough to discover the early ones,
whose messages may be queued behind the documents that these read."""


@dataclass(slots=True)
class StartDelay:
    """Delay after which this daemon reads the document from the store itself.

    After a power failure all daemons start at once.  Those of the first group (see
    `ReaderSelection`) read the store; the others wait while daemons of earlier groups
    report that they are starting.
    """

    started_s: float
    quiet_timeout_s: float
    max_delay_s: float
    _last_starting_s: float = float("-inf")

    def record_peer_starting(self, now_s: float) -> None:
        """Record that a daemon of an earlier group is starting."""
        self._last_starting_s = now_s

    def is_over(self, now_s: float) -> bool:
        """Return whether the delay has ended."""
        quiet_since_s = max(self.started_s, self._last_starting_s)
        is_quiet = now_s - quiet_since_s >= self.quiet_timeout_s
        return is_quiet or now_s - self.started_s >= self.max_delay_s


def create_entry_delay(
    group: int, is_without_peers: bool, now_s: float, rng: random.Random
) -> StartDelay:
    """Create the delay of an entry by its group; the first group does not wait."""
    if is_without_peers:
        is_early = rng.random() < EARLY_START_PROBABILITY
        early_s = rng.uniform(0.0, EARLY_DELAY_MAX_S)
        wait_s = (
            early_s if is_early else rng.uniform(LATE_DELAY_MIN_S, LATE_DELAY_MAX_S)
        )
        return StartDelay(now_s, wait_s, wait_s)
    if group == 0:
        return StartDelay(now_s, 0.0, 0.0)
    return StartDelay(
        now_s,
        ENTRY_QUIET_TIMEOUT_S,
        ENTRY_DELAY_MAX_S + GROUP_DELAY_STEP_S * (group - 1),
    )


def create_agent_delay(
    is_without_peers: bool, now_s: float, rng: random.Random
) -> StartDelay:
    """Create the delay of an agent, which reads after all entries."""
    if is_without_peers:
        wait_s = LATE_DELAY_MAX_S + rng.uniform(0.0, EARLY_DELAY_MAX_S)
        return StartDelay(now_s, wait_s, wait_s)
    return StartDelay(now_s, AGENT_QUIET_TIMEOUT_S, AGENT_DELAY_MAX_S)
