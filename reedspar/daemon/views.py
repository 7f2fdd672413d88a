"""Adapters that give each component of a daemon a view of the others."""

import time

from reedspar.admin import (
    AgentStatus,
    DaemonStatus,
    EntryStatus,
    LinkStatus,
    MemberStatus,
)
from reedspar.configuration import ConfigurationController, ConfigurationDocument
from reedspar.errors import Reason
from reedspar.links import Role
from reedspar.membership import Membership
from reedspar.requests import EntryAddress
from reedspar.weights import WeightPeer

from .node import Node

__all__ = [
    "EntryView",
    "MemberReader",
    "RequestConfiguration",
    "StatusReader",
    "WeightConfiguration",
    "WeightPeers",
]


class RequestConfiguration:
    """View of the configuration for request handling."""

    def __init__(self, controller: ConfigurationController, zone: str) -> None:
        self._controller = controller
        self._zone = zone

    @property
    def document(self) -> ConfigurationDocument | None:
        """Return the document in force."""
        return self._controller.current()

    def has_pool(self, name: str) -> bool:
        """Return whether the document in force has a pool with this name."""
        document = self.document
        return document is not None and name in document.pools

    def is_fresh(self) -> bool:
        """Return whether the last confirmation is recent enough to start new work."""
        failure = self._controller.check_work_allowed(self._zone)
        # An entry in a zone that was taken out still serves callers that cached its
        # address, since their requests go to targets in other zones.
        return failure is None or failure.reason is Reason.ZONE_OUT


class EntryView:
    """View of the entries that callers may use."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership

    def entries(self) -> tuple[EntryAddress, ...]:
        """Return the addresses of the entries."""
        return tuple(
            EntryAddress(record.name, record.zone, record.host, record.http_port)
            for record in self._membership.entries()
        )


class WeightConfiguration:
    """View of the configuration for weight distribution."""

    def __init__(self, controller: ConfigurationController) -> None:
        self._controller = controller
        self.on_change = controller.on_change

    @property
    def document(self) -> ConfigurationDocument | None:
        """Return the document in force."""
        return self._controller.current()


class WeightPeers:
    """View of the other agents that may have chunks of a model."""

    def __init__(
        self,
        name: str,
        membership: Membership,
        configuration: ConfigurationController,
    ) -> None:
        self._name = name
        self._membership = membership
        self._configuration = configuration

    def agents_of(self, model: str) -> tuple[WeightPeer, ...]:
        """Return the other live agents whose pools serve a model."""
        document = self._configuration.current()
        if document is None:
            return ()
        pools = {name for name, pool in document.pools.items() if model in pool.models}
        return tuple(
            WeightPeer(record.name, record.region, record.zone, record.pool)
            for record in self._membership.agents()
            if record.pool in pools and record.name != self._name
        )


class StatusReader:
    """Reads the state of this daemon for operators."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def read_status(self) -> DaemonStatus:
        """Return the current state."""
        node = self._node
        settings = node.settings
        age_s = node.configuration.freshness_age_s
        role = node.describe_role()
        return DaemonStatus(
            name=settings.name,
            role=settings.role,
            zone=settings.zone,
            region=settings.region,
            incarnation=node.incarnation,
            config_version=node.configuration.version,
            freshness_age_s=None if age_s == float("inf") else age_s,
            is_ready=node.configuration.is_ready,
            is_draining=node.is_draining,
            uptime_s=time.monotonic() - node.started_s,
            links=tuple(
                LinkStatus(peer=peer, is_open=True) for peer in node.network.peers()
            ),
            agent=role if isinstance(role, AgentStatus) else None,
            entry=role if isinstance(role, EntryStatus) else None,
        )


class MemberReader:
    """Lists the daemons that this daemon knows, for operators."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def list_members(self) -> tuple[MemberStatus, ...]:
        """Return all known daemons, including this one."""
        return tuple(
            MemberStatus(
                name=member.record.name,
                role=Role(member.record.role),
                zone=member.record.zone,
                region=member.record.region,
                host=member.record.host,
                port=member.record.port,
                http_port=member.record.http_port,
                state="leaving" if member.is_leaving else "live",
                incarnation=member.incarnation,
                pool=member.record.pool,
            )
            for member in self._node.membership.members()
        )
