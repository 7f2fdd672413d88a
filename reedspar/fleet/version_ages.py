"""Corrects the naming times of model versions by the ages that peers report.

Operators name a version by writing it to the store.  This daemon may learn of it later
than its peers do.
"""

import random
from collections.abc import Sequence

from reedspar.links import Network
from reedspar.messages import Sender
from reedspar.timers import TimerService

from .messages import VersionAge, VersionAgeRequest
from .view import FleetView

__all__ = ["VersionAges"]

RANDOM_PEER_PROBABILITY = 0.25
"""Probability of also asking a random peer of any region.

A whole region may learn of a version late.  Once one of its daemons has the correct
time, the others get it from that daemon."""
QUERY_WINDOW_S = 8.0
"""How long peers are asked about a version after this daemon has learned of it.

A link that is busy when a version is named also delays the first answers."""


class VersionAges:
    """Sets the naming time of each version to the earliest one known to any peer.

    Messages carry ages instead of times of day, so clocks need not agree.  Network
    delay makes a version seem younger, never older.
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
        network.subscribe(VersionAgeRequest, self._handle_request)
        network.subscribe(VersionAge, self._handle_age)

    def request_ages(self, peers: Sequence[str]) -> None:
        """Ask peers, and sometimes a random one, about recently learned versions.

        They answer for all versions up to the newest, which is the only one asked for.
        """
        horizon_s = self._timers.now_s() - QUERY_WINDOW_S
        recent = [v for v in self._view.all_versions() if v.learned_at_s > horizon_s]
        newest = {named.model: named.version for named in recent}
        if not newest:
            return
        for peer in [*peers, *self._choose_random_peer()]:
            for model, version in newest.items():
                self._network.send(peer, VersionAgeRequest(model, version))

    def _choose_random_peer(self) -> list[str]:
        names = [name for name in self._view.daemon_names() if name != self._name]
        if not names or self._rng.random() >= RANDOM_PEER_PROBABILITY:
            return []
        return [self._rng.choice(names)]

    def _handle_request(self, sender: Sender, request: VersionAgeRequest) -> None:
        """Answer for all versions up to the requested one; the sender may lack some."""
        now_s = self._timers.now_s()
        known = self._view.versions_of(request.model)
        if all(named.version != request.version for named in known):
            return
        for named in known:
            if named.version <= request.version:
                age_ms = round((now_s - named.named_at_s) * 1000)
                age = VersionAge(request.model, named.version, age_ms)
                self._network.send(sender.name, age)

    def _handle_age(self, sender: Sender, age: VersionAge) -> None:
        named_at_s = self._timers.now_s() - age.age_ms / 1000
        self._view.record_naming_time(age.model, age.version, named_at_s, sender.name)
