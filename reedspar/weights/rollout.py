"""Roll-out of versions over a pool, with phase notices between cohort members."""

from collections.abc import Callable, Iterable

from .activation import SwitchDecision
from .distribution import SendMessage
from .messages import VersionNotice, VersionPhase
from .staged_version import StagedVersion

__all__ = ["Rollout"]

NOTICE_INTERVAL_S = 1.0


class Rollout:
    """Coordinates the switches of one target with its cohort, by model."""

    def __init__(
        self, me: str, share: float, phase_of: Callable[[str], VersionPhase]
    ) -> None:
        self._me = me
        self._share = share
        self._phase_of = phase_of
        self._decisions: dict[str, SwitchDecision] = {}
        self._versions: dict[str, StagedVersion] = {}
        self._announced_phases: dict[str, VersionPhase] = {}
        self._next_notice_s: dict[str, float] = {}

    def set_peers(self, model: str, names: Iterable[str]) -> None:
        """Set the live agents of the pool that serve a model."""
        self._decision_of(model).set_peers(names)

    def set_version(self, staged: StagedVersion) -> None:
        """Set the version that a model is to be switched to."""
        self._versions[staged.model] = staged

    def receive(
        self, peer: str, notice: VersionNotice, now_s: float
    ) -> list[SendMessage]:
        """Record a peer's notice, and answer it if the peer waits to switch."""
        self._decision_of(notice.model).record_notice(peer, notice, now_s)
        if notice.phase is not VersionPhase.WAITING:
            return []
        if notice.model not in self._versions:
            return []
        return [SendMessage(peer, self._make_notice(notice.model))]

    def may_switch(
        self, staged: StagedVersion, now_s: float, deadline_s: float = float("inf")
    ) -> bool:
        """Return whether this target may switch a model now."""
        decision = self._decision_of(staged.model)
        decision.set_deadline(deadline_s)
        decision.begin_waiting(staged.root_digest, now_s)
        return decision.may_switch(now_s)

    def handle_pause(self, now_s: float) -> None:
        """Discard notices from before a pause."""
        for decision in self._decisions.values():
            decision.handle_pause(now_s)

    def tick(self, now_s: float) -> list[SendMessage]:
        """Return notices of changed phases, and repeated ones of transient phases."""
        messages = []
        for model in self._versions:
            phase = self._phase_of(model)
            is_new = phase is not self._announced_phases.get(
                model, VersionPhase.SERVING
            )
            is_due = now_s >= self._next_notice_s.get(model, 0.0)
            if is_new or (self._is_in_transient_phase(model) and is_due):
                self._announced_phases[model] = phase
                self._next_notice_s[model] = now_s + NOTICE_INTERVAL_S
                notice = self._make_notice(model)
                cohort = self._decision_of(model).cohort
                messages += [SendMessage(peer, notice) for peer in cohort]
        return messages

    def _is_in_transient_phase(self, model: str) -> bool:
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
