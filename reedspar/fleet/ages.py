"""Asking peers how long ago a version was named, since this daemon may hear late."""

import random
from collections.abc import Sequence

from reedspar.links import Network
from reedspar.messages import Sender
from reedspar.timers import TimerService

from .messages import VersionAge, VersionAgeRequest
from .view import FleetView

__all__ = ["VersionAges"]

FAR_PART = 0.25
"""How often a peer of any region is asked, too: news may be late in a whole region, and
what one of its daemons has learned the others learn from it."""
ASKED_FOR_S = 8.0
"""How long peers are asked: a link that is busy when a version is named delays the
first answers, too."""


class VersionAges:
    """Brings the times at which versions were named forward to the earliest known.

    Ages travel, not times of day: clocks need not agree.  An answer that is on its way
    for long makes a version seem younger, never older.
    """

    def __init__(
        self,
        name: str,
        view: FleetView,
        network: Network,
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._view = view
        self._network = network
        self._timers = timers
        self._rng = rng
        network.subscribe(VersionAgeRequest, self._answer)
        network.subscribe(VersionAge, self._take)

    def ask(self, peers: Sequence[str]) -> None:
        """Ask peers, and at times one of any region, about versions heard of lately."""
        horizon_s = self._timers.now_s() - ASKED_FOR_S
        recent = [i for i in self._view.all_versions() if i.learned_at_s > horizon_s]
        if not recent:
            return
        for peer in [*peers, *self._choose_far()]:
            for named in recent:
                request = VersionAgeRequest(named.model, named.version)
                self._network.send(peer, request)

    def _choose_far(self) -> list[str]:
        names = [name for name in self._view.daemon_names() if name != self._name]
        if not names or self._rng.random() >= FAR_PART:
            return []
        return [self._rng.choice(names)]

    def _answer(self, sender: Sender, request: VersionAgeRequest) -> None:
        """Answer with all versions up to this one: the asker may have skipped some."""
        now_s = self._timers.now_s()
        known = self._view.versions_of(request.model)
        if all(named.version != request.version for named in known):
            return
        for named in known:
            if named.version <= request.version:
                age_ms = round((now_s - named.named_at_s) * 1000)
                age = VersionAge(request.model, named.version, age_ms)
                self._network.send(sender.name, age)

    def _take(self, sender: Sender, age: VersionAge) -> None:
        named_at_s = self._timers.now_s() - age.age_ms / 1000
        self._view.record_naming_time(age.model, age.version, named_at_s, sender.name)
