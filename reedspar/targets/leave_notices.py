"""Notices of a leaving agent, whose confirmations prove that nothing is on its way.

Messages keep their order on a link.  What an entry sent before it learned that the
agent leaves therefore arrives before its confirmation, and what the agent sent before a
notice has arrived at the entry once that notice is confirmed.
"""

import itertools
import logging

import anyio

from reedspar.attempts import LeaveConfirmation, LeaveNotice
from reedspar.links import Network, Role
from reedspar.messages import Sender

__all__ = ["LeaveNotices"]

POLL_INTERVAL_S = 0.02
POLLS_PER_REPEAT = 25
CONFIRMATION_TIMEOUT_S = 3.0
"""Time in which a live entry replaces a broken link, and learns of the notice."""

_logger = logging.getLogger(__name__)


class LeaveNotices:
    """Sends notices to the entries, and waits for their confirmations."""

    def __init__(self, network: Network) -> None:
        self._network = network
        self._numbers = itertools.count(1)
        self._confirmed: dict[str, int] = {}
        """Highest number of a notice that each entry has confirmed."""
        network.subscribe(LeaveConfirmation, self._on_confirmation)

    async def wait_confirmed(self) -> None:
        """Return once each linked entry has confirmed a new notice, or is gone."""
        number = next(self._numbers)
        with anyio.move_on_after(CONFIRMATION_TIMEOUT_S):
            for poll in itertools.count():
                waiting = self._list_waiting(number)
                if not waiting:
                    return
                if poll % POLLS_PER_REPEAT == 0:
                    for entry in waiting:
                        self._network.send(entry, LeaveNotice(number))
                await anyio.sleep(POLL_INTERVAL_S)
        _logger.warning(
            "entries do not confirm the stop",
            extra={"entries": self._list_waiting(number)},
        )

    def _list_waiting(self, number: int) -> list[str]:
        """Return the linked entries that have not confirmed a notice."""
        return [
            entry
            for entry in self._network.peers(Role.ENTRY)
            if self._confirmed.get(entry, 0) < number
        ]

    def _on_confirmation(self, sender: Sender, message: LeaveConfirmation) -> None:
        known = self._confirmed.get(sender.name, 0)
        self._confirmed[sender.name] = max(known, message.number)
