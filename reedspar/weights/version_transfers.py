"""Transfers of an agent's versions, as the catalog of versions controls them."""

from collections.abc import Callable, Mapping

from reedspar.timers import TimerService

from .distribution import Distribution
from .manifest import Manifest
from .offers import OfferTracker
from .staged_version import StagedVersion

__all__ = ["VersionTransfers"]


class VersionTransfers:
    """Tells how transfers stand, and fetches versions that are loaded only later."""

    def __init__(
        self,
        distribution: Distribution,
        staged: Mapping[str, StagedVersion],
        offers: OfferTracker,
        run_actions: Callable[[], None],
        timers: TimerService,
    ) -> None:
        self._distribution = distribution
        self._staged = staged
        self._offers = offers
        self._run_actions = run_actions
        self._timers = timers

    def left_s(self, model: str) -> float | None:
        """Return a model's remaining transfer time; None if loaded or unconfigured."""
        staged = self._staged.get(model)
        if staged is None or self._offers.is_confirmed(model):
            return None
        if staged.manifest is None:
            return float("inf")
        return self._distribution.left_s(staged.root_digest)

    def is_stalled(self, model: str) -> bool:
        """Return whether no missing chunk of a model's version becomes available."""
        staged = self._staged.get(model)
        if staged is None:
            return False
        now_s = self._timers.now_s()
        return self._distribution.status(staged.root_digest, now_s).is_stalled

    def prefetch(self, manifest: Manifest) -> None:
        """Fetch the chunks of a version that is to be loaded after the current one."""
        now_s = self._timers.now_s()
        self._distribution.register_version(manifest, now_s)
        self._distribution.fetch_chunks(manifest, now_s)
        self._run_actions()

    def cancel_prefetch(self, manifest: Manifest) -> None:
        """Stop fetching the chunks of a version that is not to be loaded any more."""
        if all(s.root_digest != manifest.root_digest for s in self._staged.values()):
            now_s = self._timers.now_s()
            self._distribution.remove_version(manifest.root_digest, now_s)
            self._run_actions()
