"""Decision: how long a daemon that starts waits for peers that may have a document."""

import random
from dataclasses import dataclass

__all__ = ["StartDelay", "create_agent_delay", "create_entry_delay"]

QUIET_S = 0.6
"""Without an answer for so long, those that come first are not there."""
LONGEST_S = 3.0
"""How long they may take for the document while they say that they start, too."""
STEP_S = 0.5
"""How much longer each later group waits."""
AGENT_QUIET_S = 1.5
"""The same for an agent, which asks one entry at a time."""
AGENT_LONGEST_S = 6.0
EARLY_SHARE = 0.25
EARLY_S = 0.5
LATE_MIN_S = 2.5
LATE_MAX_S = 5.0
"""Of daemons that know no other a share reads early.  The others wait until these can
be heard of, also behind the documents that those read."""


@dataclass(slots=True)
class StartDelay:
    """Ends when this daemon reads the document of the store by itself.

    After a loss of power all daemons start at once.  Those of the first group read; the
    others wait while these say that they are starting.
    """

    begun_s: float
    quiet_s: float
    longest_s: float
    _heard_s: float = float("-inf")

    def note_starting(self, now_s: float) -> None:
        """Note that a daemon of an earlier group is starting."""
        self._heard_s = now_s

    def is_over(self, now_s: float) -> bool:
        """Tell whether to wait no longer."""
        quiet_since_s = max(self.begun_s, self._heard_s)
        is_quiet = now_s - quiet_since_s >= self.quiet_s
        return is_quiet or now_s - self.begun_s >= self.longest_s


def create_entry_delay(
    group: int, is_alone: bool, now_s: float, rng: random.Random
) -> StartDelay:
    """Make the delay of an entry of a group; the first group waits for nobody."""
    if is_alone:
        is_early = rng.random() < EARLY_SHARE
        early_s = rng.uniform(0.0, EARLY_S)
        wait_s = early_s if is_early else rng.uniform(LATE_MIN_S, LATE_MAX_S)
        return StartDelay(now_s, wait_s, wait_s)
    if group == 0:
        return StartDelay(now_s, 0.0, 0.0)
    return StartDelay(now_s, QUIET_S, LONGEST_S + STEP_S * (group - 1))


def create_agent_delay(is_alone: bool, now_s: float, rng: random.Random) -> StartDelay:
    """Make the delay of an agent, which comes after all entries."""
    if is_alone:
        wait_s = LATE_MAX_S + rng.uniform(0.0, EARLY_S)
        return StartDelay(now_s, wait_s, wait_s)
    return StartDelay(now_s, AGENT_QUIET_S, AGENT_LONGEST_S)
