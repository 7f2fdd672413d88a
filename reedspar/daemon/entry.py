"""The entry role: serves callers, and finishes their requests before it stops."""

import random
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from starlette.routing import BaseRoute

from reedspar.admin import EntryStatus
from reedspar.observation import RequestObserver
from reedspar.requests import RequestService, create_request_service
from reedspar.serving import OpenConnections
from reedspar.supervision import run_restarting

from .node import Node
from .views import EntryView, RequestConfiguration

__all__ = ["EntryRole", "create_entry_role"]


class EntryRole:
    """The components of an entry on its node."""

    def __init__(self, node: Node, service: RequestService) -> None:
        self._node = node
        self._service = service
        self._drain_began_s = 0.0
        node.describe_role = self.describe
        node.metrics.attempt_faults.set_callback(self._read_faults)
        node.metrics.answers_cut.set_callback(service.cut_log.read_counts)

    @property
    def application(self) -> Any:
        """Return the ASGI application for callers and operators."""
        return self._service.application

    def start(self) -> None:
        """Start the background tasks of the request service."""
        self._node.contained_tasks.start_soon(run_restarting, self._service.run)

    def describe(self) -> EntryStatus:
        """Return the entry's part of the daemon status."""
        return EntryStatus(
            in_flight=self._service.application.in_flight,
            target_count=self._service.directory.usable_target_count(),
        )

    async def drain(self, connections: OpenConnections) -> None:
        """Withdraw the address, serve until cached copies expire, finish requests."""
        self._drain_began_s = self._node.timers.now_s()
        self._node.membership.announce_leaving()
        await self._service.drain(connections)

    async def close(self) -> None:
        """Finish what the last requests have left to write; none may begin any more."""
        await self._service.finish(self._drain_began_s)

    def _read_faults(self) -> list[tuple[float, dict[str, str]]]:
        """Return the counts of the attempt client's faults, for the metrics."""
        counts = asdict(self._service.client.counts)
        return [(count, {"fault": name}) for name, count in counts.items()]


def create_entry_role(
    node: Node,
    admin_routes: list[BaseRoute],
    unix_time: Callable[[], float],
) -> EntryRole:
    """Create the entry role on the node."""
    settings = node.settings
    configuration = RequestConfiguration(node.configuration, settings.zone)
    observer = RequestObserver(
        node.network, node.metrics, node.recorder, configuration.has_pool
    )
    service = create_request_service(
        name=settings.name,
        incarnation=node.incarnation,
        zone=settings.zone,
        network=node.network,
        timers=node.timers,
        configuration=configuration,
        entries=EntryView(node.membership),
        settings=settings.requests,
        key_value=node.key_value,
        unix_time=unix_time,
        rng=random.Random(),
        first_filter=observer,
        extra_routes=admin_routes,
    )
    return EntryRole(node, service)
