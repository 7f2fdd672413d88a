"""Protocols and options of the relay: target selection and attempts at targets."""

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
    """Options of the relay for targets that fail or are missing."""

    retry_wait_s: float = 1.5
    """How long a request waits for a target while links and reports recover."""
    deadline_margin_s: float = 0.25
    """How much earlier the agent's deadline is, so that its last message arrives."""
    unreached_attempts_max: int = 3
    """Maximum number of additional attempts that reached no target."""


class ChosenTarget(Protocol):
    """The target chosen for an attempt."""

    @property
    def name(self) -> str:
        """Return the target's name."""
        ...

    @property
    def zone(self) -> str:
        """Return the target's availability zone."""
        ...

    @property
    def incarnation(self) -> int:
        """Return the incarnation of the target's agent, or 0 without an agent."""
        ...

    @property
    def weights_digest(self) -> str:
        """Return the weights that the target was chosen for; empty: any."""
        ...


class TargetChooser(Protocol):
    """Chooses the targets of attempts, based on how earlier attempts ended."""

    def choose(
        self, request: Request, tried: Collection[str]
    ) -> ChosenTarget | Failure:
        """Return the target of the next attempt, or a failure if there is none."""
        ...

    def on_started(self, request: Request, chosen: ChosenTarget) -> None:
        """Record that an attempt was handed over."""
        ...

    def on_first_byte(self, request: Request, chosen: ChosenTarget) -> None:
        """Record that the target started to answer."""
        ...

    def on_silent(self, request: Request, chosen: ChosenTarget) -> None:
        """Record that an open attempt has been silent for too long."""
        ...

    def on_ended(
        self, request: Request, chosen: ChosenTarget, answer: Answer | None
    ) -> None:
        """Record how an attempt ended; `answer` is None if this entry let go of it."""
        ...

    def on_refused(self, chosen: ChosenTarget, failure: Failure) -> None:
        """Record that an attempt could not be handed over."""
        ...


class AttemptOpener(Protocol):
    """Hands attempts over, either to agents or directly to targets."""

    def open(self, target: str, start: AttemptStart) -> OpenAttempt | Failure:
        """Hand a request over, or return a failure if nothing was handed over."""
        ...

    def read_available(self, attempt: OpenAttempt) -> bytes:
        """Return the bytes that arrived since the last call."""
        ...

    def close(self, attempt: OpenAttempt) -> None:
        """Close an attempt; cancel it if it is unfinished."""
        ...
