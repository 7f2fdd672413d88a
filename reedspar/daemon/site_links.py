"""Links between the daemons of a site."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from reedspar import fleet, links, pool_state, requests, weights
from reedspar.fleet import FleetView
from reedspar.links import Hello, OnDemandNetwork, PeerAddress
from reedspar.links.tcp_network import TcpNetwork, create_tcp_network
from reedspar.messages import MessageRegistry, Sender
from reedspar.settings import SiteSettings
from reedspar.timers import TimerService

__all__ = ["SiteLinks", "create_site_links"]


@dataclass(frozen=True, slots=True)
class SiteLinks:
    """The TCP transport, and on-demand networks that share it."""

    transport: TcpNetwork
    create_network: Callable[[str], OnDemandNetwork]
    """Creates the network of a component of the daemon, given the component's name."""


def create_site_links(
    settings: SiteSettings,
    incarnation: int,
    view: FleetView,
    timers: TimerService,
    rng: random.Random,
) -> SiteLinks:
    """Create the links of a daemon, which looks up peers in its view of the fleet."""
    registry = MessageRegistry()
    for package in (links, weights, fleet, requests, pool_state):
        package.register_messages(registry)
    hello = Hello(
        settings.name,
        settings.role,
        settings.zone,
        settings.region,
        settings.host,
        settings.listen.peers_port,
    )

    def describe_sender() -> Sender:
        version = view.routes.version if view.routes is not None else 0
        return Sender(settings.name, incarnation, version)

    def resolve(name: str) -> PeerAddress | None:
        found = view.daemon(name)
        return PeerAddress(name, found.host, found.port) if found else None

    transport = create_tcp_network(
        hello, registry, timers, settings.links, describe_sender, rng
    )
    return SiteLinks(
        transport,
        lambda owner: OnDemandNetwork(transport, timers, owner, resolve),
    )
