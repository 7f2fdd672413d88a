"""Activation: when a target switches to a version, and what it waits for first."""

from typing import Protocol

from reedspar.errors import Failure

__all__ = ["SwitchGate"]


class SwitchGate(Protocol):
    """The agent's side of a switch: no request may see two versions."""

    async def begin_switch(self, model: str) -> Failure | None:
        """Admit no more for a model, and return once none in flight uses it."""
        ...

    def end_switch(self, model: str) -> None:
        """Admit again whatever is offered."""
        ...
