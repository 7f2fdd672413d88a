"""Protocols of what the relay needs: choosing targets, and attempts at them."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

from reedspar.attempts import AttemptStart
from reedspar.errors import Failure

from .attempt_client import OpenAttempt
from .request import Answer, Request

__all__ = ["AttemptOpener", "ChosenTarget", "RelayOptions", "TargetChooser"]


@dataclass(frozen=True, slots=True)
class RelayOptions:
    """How the relay deals with targets that fail or are missing."""

    retry_wait_s: float = 1.5
    """How long a request waits for a target while links and reports recover."""
    deadline_margin_s: float = 0.25
    """What a peer's word at its deadline gets to reach us before ours."""
    unreached_attempts_max: int = 3
    """Attempts beyond the request's own that reached no target at all."""


class ChosenTarget(Protocol):
    """The target of one attempt."""

    @property
    def name(self) -> str:
        """Return the target's name."""
        ...

    @property
    def incarnation(self) -> int:
        """Return the incarnation of its agent; 0 where there is none."""
        ...

    @property
    def weights_digest(self) -> str:
        """Return the weights that it was chosen for, empty if any will do."""
        ...


class TargetChooser(Protocol):
    """Decides where attempts go, and learns from how they end."""

    def choose(
        self, request: Request, tried: Collection[str]
    ) -> ChosenTarget | Failure:
        """Return the target of the next attempt, or why there is none."""
        ...

    def on_started(self, request: Request, chosen: ChosenTarget) -> None:
        """Note that an attempt was handed over."""
        ...

    def on_first_byte(self, request: Request, chosen: ChosenTarget) -> None:
        """Note that the target has begun to answer."""
        ...

    def on_ended(
        self, request: Request, chosen: ChosenTarget, answer: Answer | None
    ) -> None:
        """Note how an attempt ended; None if the caller left."""
        ...

    def on_refused(self, chosen: ChosenTarget, failure: Failure) -> None:
        """Note that an attempt could not be handed over."""
        ...


class AttemptOpener(Protocol):
    """Hands attempts over, to agents or straight to targets."""

    def open(self, target: str, start: AttemptStart) -> OpenAttempt | Failure:
        """Hand a request over; a failure means that nothing was handed over."""
        ...

    def read_available(self, attempt: OpenAttempt) -> bytes:
        """Return the bytes that arrived since the last call."""
        ...

    def close(self, attempt: OpenAttempt) -> None:
        """Let go of an attempt; an unfinished one is cancelled."""
        ...
