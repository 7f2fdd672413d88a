"""Run a daemon until it receives a signal to stop."""

import logging
import signal
import time
from typing import Any

import anyio
from anyio.abc import TaskStatus

from reedspar.admin import (
    AdminSources,
    create_admin_app,
    create_configuration_source,
)
from reedspar.configuration.store import create_configuration_store
from reedspar.links import Role
from reedspar.serving import OpenConnections
from reedspar.settings import DaemonSettings
from reedspar.timeline import EventKind

from .agent import AgentRole, create_agent_role
from .entry import EntryRole, create_entry_role
from .http_server import serve_http
from .incarnation import choose_incarnation
from .node import Node, create_node
from .signals import receive_signals
from .views import MemberReader, StatusReader

__all__ = ["run_daemon"]

_logger = logging.getLogger(__name__)


def _create_admin_routes(node: Node) -> list[Any]:
    source = create_configuration_source(
        create_configuration_store(node.key_value),
        node.history,
        node.configuration.current,
        node.configuration.adopt_if_newer,
    )
    sources = AdminSources(
        StatusReader(node), MemberReader(node), source, node.recorder, node.metrics
    )
    return create_admin_app(sources).routes


def _create_role(node: Node) -> EntryRole | AgentRole:
    routes = _create_admin_routes(node)
    if node.settings.role is Role.ENTRY:
        return create_entry_role(node, routes, time.time)
    return create_agent_role(node, routes)


async def _wait_for_signal(stop: anyio.Event, *, task_status: TaskStatus) -> None:
    """Set `stop` at the first signal; further ones have no effect."""
    with receive_signals(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for number in signals:
            _logger.info("stopping", extra={"signal": number.name})
            stop.set()


async def run_daemon(settings: DaemonSettings) -> None:
    """Run until SIGTERM or SIGINT, then drain and stop."""
    stop = anyio.Event()
    stop_serving = anyio.Event()
    server_stopped = anyio.Event()
    connections = OpenConnections()

    async def serve(application: Any) -> None:
        await serve_http(
            application,
            settings.host,
            settings.http_port,
            stop_serving,
            connections=connections,
        )
        server_stopped.set()

    async with anyio.create_task_group() as tasks:
        await tasks.start(_wait_for_signal, stop)
        node = create_node(settings, choose_incarnation(), tasks)
        node.metrics.connections_ended.set_callback(connections.read_counts)
        role = _create_role(node)
        await node.start()
        role.start()
        tasks.start_soon(serve, role.application)
        _logger.info("started", extra={"incarnation": node.incarnation})
        await stop.wait()
        node.is_draining = True
        node.recorder.record(EventKind.DAEMON_DRAINING)
        await role.drain(connections)
        stop_serving.set()
        await server_stopped.wait()
        await role.close()
        await node.close()
        _logger.info("stopped")
        tasks.cancel_scope.cancel()
