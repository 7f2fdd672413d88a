"""The daemon: build an entry or an agent out of its parts, run it, stop it."""

from .incarnation import choose_incarnation
from .node import Node, create_node
from .run import run_daemon

__all__ = ["Node", "choose_incarnation", "create_node", "run_daemon"]
