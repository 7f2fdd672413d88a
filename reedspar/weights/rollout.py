"""The roll-out of versions over a pool: what a target tells its cohort, and when."""

from collections.abc import Callable, Iterable

from .activation import SwitchDecision
from .distribution import SendMessage
from .messages import VersionNotice, VersionPhase
from .staging import StagedVersion

__all__ = ["Rollout"]

REPEAT_S = 1.0


class Rollout:
    """One target's turns, by model."""

    def __init__(
        self, me: str, share: float, phase_of: Callable[[str], VersionPhase]
    ) -> None:
        self._me = me
        self._share = share
        self._phase_of = phase_of
        self._decisions: dict[str, SwitchDecision] = {}
        self._versions: dict[str, StagedVersion] = {}
        self._told: dict[str, VersionPhase] = {}
        self._repeat_at_s: dict[str, float] = {}

    def set_peers(self, model: str, names: Iterable[str]) -> None:
        """Take the live agents whose pools serve a model."""
        self._decision_of(model).set_peers(names)

    def set_version(self, staged: StagedVersion) -> None:
        """Take the version that a model is to be switched to."""
        self._versions[staged.model] = staged

    def receive(
        self, peer: str, notice: VersionNotice, now_s: float
    ) -> list[SendMessage]:
        """Take a peer's notice; one that waits is answered."""
        self._decision_of(notice.model).note(peer, notice, now_s)
        if notice.phase is not VersionPhase.WAITING:
            return []
        if notice.model not in self._versions:
            return []
        return [SendMessage(peer, self._make_notice(notice.model))]

    def may_switch(
        self, staged: StagedVersion, now_s: float, deadline_s: float = float("inf")
    ) -> bool:
        """Tell whether it is this target's turn to switch a model."""
        decision = self._decision_of(staged.model)
        decision.set_deadline(deadline_s)
        decision.begin_waiting(staged.root_digest, now_s)
        return decision.may_switch(now_s)

    def handle_pause(self, now_s: float) -> None:
        """Drop what peers said before a pause."""
        for decision in self._decisions.values():
            decision.handle_pause(now_s)

    def tick(self, now_s: float) -> list[SendMessage]:
        """Tell the cohorts what has changed, and repeat what does not last."""
        messages = []
        for model in self._versions:
            phase = self._phase_of(model)
            is_new = phase is not self._told.get(model, VersionPhase.SERVING)
            is_due = now_s >= self._repeat_at_s.get(model, 0.0)
            if is_new or (self._is_active(model) and is_due):
                self._told[model] = phase
                self._repeat_at_s[model] = now_s + REPEAT_S
                notice = self._make_notice(model)
                cohort = self._decision_of(model).cohort
                messages += [SendMessage(peer, notice) for peer in cohort]
        return messages

    def _is_active(self, model: str) -> bool:
        phase = self._phase_of(model)
        return phase in (VersionPhase.WAITING, VersionPhase.SWITCHING)

    def _make_notice(self, model: str) -> VersionNotice:
        staged = self._versions[model]
        phase = self._phase_of(model)
        sequence = staged.version.sequence
        return VersionNotice(model, staged.root_digest, sequence, phase)

    def _decision_of(self, model: str) -> SwitchDecision:
        if model not in self._decisions:
            self._decisions[model] = SwitchDecision(self._me, self._share)
        return self._decisions[model]
