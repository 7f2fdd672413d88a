"""Construction of the entry role: filters, their state and the application."""

import logging
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio
from starlette.applications import Starlette
from starlette.routing import BaseRoute

from reedspar.links import Network
from reedspar.platform import KeyValueStore
from reedspar.settings import RequestSettings
from reedspar.timers import TimerService

from .address_list import AddressListEndpoint
from .application import RequestApplication, RequestIdGenerator
from .attempt_client import AttemptClient, create_attempt_client
from .caller_adapter import PoolAdapter
from .claim_client import ClaimClient
from .claim_ledger import ClaimLedger, LedgerOptions
from .crash_gossip import create_crash_gossip
from .cut_log import CutLog
from .deduplication import DeduplicationFilter
from .drain_filter import DrainFilter
from .draining import ABORT_GRACE_S, Connections, DrainOptions, run_drain
from .filters import (
    ClassificationFilter,
    IdentificationFilter,
    RequestLimitsFilter,
    chain_filters,
)
from .protection_filters import AdmissionFilter, QuarantineFilter
from .quarantine import Quarantine
from .relay import Relay
from .request import Filter
from .retry_budgets import RetryBudgets
from .routing import PoolChooser, Router
from .target_directory import TargetDirectory, create_target_directory
from .uploads import BodyLimit
from .verdict_archive import VerdictArchive, create_verdict_archive
from .views import ConfigurationView, EntryDirectory

__all__ = ["RequestService", "create_request_service"]

RUNNING_MARGIN_S = 5.0
"""Time after its deadline from which an order without an outcome counts as unknown."""
LAST_WRITES_MIN_S = 1.0
"""Minimum time for the last outcomes, if the drain has used up its own."""

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RequestService:
    """The parts of the entry role that the daemon uses."""

    application: RequestApplication
    addresses: AddressListEndpoint
    client: AttemptClient
    directory: TargetDirectory
    claims: ClaimClient
    ledger: ClaimLedger
    verdict_archive: VerdictArchive
    admission: AdmissionFilter
    drain_filter: DrainFilter
    cut_log: CutLog
    timers: TimerService
    settings: RequestSettings

    async def run(self) -> None:
        """Write claims and verdicts until cancelled; run this in the daemon's tasks."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.verdict_archive.run)
            await self.ledger.run()

    async def drain(self, connections: Connections) -> None:
        """Drain requests, and return once this entry may stop.

        The other entries must already be notified that this one is shutting down.
        """
        self.addresses.exclude_self()
        self.verdict_archive.begin_stop()
        options = DrainOptions(
            self.settings.address_ttl_s, self.settings.drain_timeout_s
        )
        await run_drain(
            self.application,
            connections,
            self.drain_filter,
            options,
            self.timers.now_s,
        )

    async def finish(self, drain_began_s: float) -> None:
        """Write the last outcomes and verdicts, as long as the drain may take.

        No request may begin any more.  Without its outcome, a repeat of an order would
        be told that nobody knows whether it ran.
        """
        ends_at_s = drain_began_s + self.settings.drain_timeout_s + ABORT_GRACE_S
        left_s = max(ends_at_s - self.timers.now_s(), LAST_WRITES_MIN_S)
        with anyio.move_on_after(left_s):
            await self.claims.wait_written()
            await self.verdict_archive.wait_written()
        if self.claims.pending_update_count:
            _logger.error(
                "outcomes of orders are not written",
                extra={"count": self.claims.pending_update_count},
            )


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
    key_value: KeyValueStore,
    rng: random.Random,
    unix_time: Callable[[], float] = time.time,
    first_filter: Filter | None = None,
    extra_routes: Sequence[BaseRoute] = (),
) -> RequestService:
    """Build the entry role on the daemon's network, timers and configuration."""
    client = create_attempt_client(network, timers)
    directory = create_target_directory(network, timers)
    directory.on_agent_restart(client.on_incarnation)
    quarantine = Quarantine()
    create_crash_gossip(name, quarantine, network, timers, rng)
    ledger = ClaimLedger(
        key_value,
        timers,
        unix_time,
        LedgerOptions(settings.claim_ttl_s, settings.deadline_s + RUNNING_MARGIN_S),
        lambda: len(entries.entries()),
    )
    claims = ClaimClient(name, network, timers, ledger, entries)
    relay = Relay(
        client,
        PoolChooser(Router(directory, zone, rng), configuration, timers),
        RetryBudgets(settings.retry_share),
        quarantine,
        timers,
    )
    admission = AdmissionFilter(configuration, directory, timers)
    drain_filter = DrainFilter(timers)
    cut_log = CutLog(drain_filter, timers)
    filters: list[Filter] = [
        IdentificationFilter(configuration),
        RequestLimitsFilter(timers, settings.deadline_s),
        ClassificationFilter(configuration),
        DeduplicationFilter(claims, timers, unix_time, settings.claim_ttl_s),
        drain_filter,
        QuarantineFilter(quarantine, timers),
        admission,
        relay,
    ]
    if first_filter is not None:
        filters.insert(0, first_filter)
    addresses = AddressListEndpoint(
        name, zone, configuration, entries, settings.address_ttl_s
    )
    application = RequestApplication(
        chain_filters(filters),
        PoolAdapter(),
        RequestIdGenerator(name, incarnation),
        timers,
        BodyLimit(lambda: settings.body_limit_bytes),
        Starlette(routes=[addresses.route, *extra_routes]),
        cut_log=cut_log,
    )
    return RequestService(
        application,
        addresses,
        client,
        directory,
        claims,
        ledger,
        create_verdict_archive(quarantine, key_value, timers, rng),
        admission,
        drain_filter,
        cut_log,
        timers,
        settings,
    )
