"""Composition of the entry side: the filters, their state and the application."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from starlette.routing import BaseRoute

from reedspar.links import Network
from reedspar.settings import RequestSettings
from reedspar.timers import TimerService

from .application import RequestApplication, RequestIds
from .attempt_client import AttemptClient, create_attempt_client
from .filters import Bound, Classify, Identify, chain_filters
from .relay import Relay
from .request import Filter
from .retries import RetryBudget
from .routing import Router
from .target_directory import TargetDirectory, create_target_directory
from .views import ConfigurationView, EntryDirectory

__all__ = ["RequestService", "create_request_service"]


@dataclass(frozen=True, slots=True)
class RequestService:
    """The parts that a daemon needs to reach."""

    application: RequestApplication
    client: AttemptClient
    directory: TargetDirectory


def create_request_service(
    *,
    name: str,
    incarnation: int,
    zone: str,
    network: Network,
    timers: TimerService,
    configuration: ConfigurationView,
    entries: EntryDirectory,
    settings: RequestSettings,
    rng: random.Random,
    extra_routes: Sequence[BaseRoute] = (),
) -> RequestService:
    """Build the entry side on the daemon's network, timers and configuration."""
    client = create_attempt_client(network, timers)
    directory = create_target_directory(network, timers)
    directory.on_incarnation(client.on_incarnation)
    relay = Relay(
        client,
        Router(directory, zone, rng),
        RetryBudget(settings.retry_share),
        configuration,
        timers,
    )
    filters: list[Filter] = [
        Identify(configuration),
        Bound(timers, settings.deadline_s, settings.body_limit_bytes),
        Classify(configuration),
        relay,
    ]
    application = RequestApplication(
        chain_filters(filters),
        RequestIds(name, incarnation),
        timers,
        configuration,
        entries,
        settings,
        zone,
        extra_routes,
    )
    return RequestService(application, client, directory)
