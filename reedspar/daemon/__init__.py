"""The daemon: builds an entry or an agent from its components, and runs it."""

from typing import TYPE_CHECKING

from reedspar.utils import create_lazy_getattr

if TYPE_CHECKING:
    from .incarnation import choose_incarnation
    from .node import Node, create_node
    from .run import run_daemon

__all__ = ["Node", "choose_incarnation", "create_node", "run_daemon"]

if not TYPE_CHECKING:
    __getattr__ = create_lazy_getattr(
        __name__,
        {
            "incarnation": ("choose_incarnation",),
            "node": (
                "Node",
                "create_node",
            ),
            "run": ("run_daemon",),
        },
    )
