"""Controller of the configuration in force: updates, distribution and freshness.

New versions come from peers and, in a few daemons of each zone, from a watch on the
key-value service.  The held version never decreases.
"""

import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass

from reedspar.errors import Failure, InvariantError, Reason, Step
from reedspar.links import Network, Role
from reedspar.messages import Sender
from reedspar.platform import KeyValueStore
from reedspar.settings import DaemonSettings
from reedspar.timers import TimerService

from .document import ConfigurationDocument
from .exchange import ATTESTATION_DELAY_S, FreshnessExchange
from .fetching import DocumentFetch
from .freshness import age_to_ms
from .messages import ConfigurationOffer, ConfigurationRequest
from .patching import DOCUMENT_MAX_BYTES, encode_document
from .store import decode_document, decode_entry
from .view import DaemonView
from .watching import (
    WATCHERS_PER_ZONE,
    KeyValueWatch,
    Spawn,
    WatcherRole,
    WatchResult,
    create_key_value_watch,
)

__all__ = [
    "ConfigurationController",
    "ConfigurationCounters",
    "create_configuration_controller",
]

TICK_INTERVAL_S = 0.25
WATCH_TIMEOUT_S = 0.5
"""Short because an answer only proves which version was newest when the call began."""
WATCH_RETRY_DELAY_S = 0.5
READ_STALENESS_MAX_S = 0.5
"""Assumed bound on the staleness of a read from the key-value service."""
OUTDATED_PEER_BEACON_INTERVAL_S = 1.0
BEACON_TIMES_MAX = 1024
"""Maximum number of outdated peers whose last beacon time is kept."""
FALLBACK_READ_INITIAL_DELAY_S = 4.0
FALLBACK_READ_DELAY_MAX_S = 60.0

ChangeListener = Callable[[ConfigurationDocument], None]


@dataclass(slots=True)
class ConfigurationCounters:
    """Event counts for telemetry."""

    adopted: int = 0
    requests: int = 0
    offers: int = 0
    bad_offers: int = 0
    watch_calls: int = 0
    watch_failures: int = 0
    stale_reads: int = 0


class ConfigurationController:
    """Adopts only newer documents, and decides whether work may start."""

    def __init__(
        self,
        settings: DaemonSettings,
        network: Network,
        timers: TimerService,
        watch: KeyValueWatch,
        view: DaemonView,
        rng: random.Random,
        watchers_per_zone: int = WATCHERS_PER_ZONE,
    ) -> None:
        self._name = settings.name
        self._zone = settings.zone
        self._freshness_s = settings.requests.freshness_s
        self._network = network
        self._timers = timers
        self._watch = watch
        self._view = view
        self._rng = rng
        self._document: ConfigurationDocument | None = None
        self._offer: ConfigurationOffer | None = None
        self._is_ready = False
        self._revision = 0
        self._version_at_revision = 0
        self._attest_after_s = float("inf")
        self._watch_after_s = 0.0
        self._fallback_read_delay_s = FALLBACK_READ_INITIAL_DELAY_S
        self._fallback_read_at_s = timers.now_s() + FALLBACK_READ_INITIAL_DELAY_S * (
            0.5 + rng.random()
        )
        self._beacon_sent_s: dict[str, float] = {}
        self._listeners: list[ChangeListener] = []
        self._role = WatcherRole(settings.name, settings.zone, watchers_per_zone)
        self._fetch = DocumentFetch()
        self._exchange = FreshnessExchange(
            network,
            timers,
            view,
            rng,
            settings.zone,
            settings.role is Role.ENTRY,
            lambda: self.version,
            self.handle_sender,
        )
        self.counters = ConfigurationCounters()

    @property
    def version(self) -> int:
        """Return the version in force; 0 before any is known."""
        return 0 if self._document is None else self._document.version

    @property
    def is_ready(self) -> bool:
        """Return whether a held version has ever been known to be the newest."""
        return self._is_ready

    @property
    def freshness_age_s(self) -> float:
        """Return the time in s since the held version was known to be the newest."""
        return self._exchange.freshness_age_s()

    @property
    def confirmed_age_s(self) -> float:
        """Return the time in s since the key-value service confirmed the version."""
        confirmed_s = self._exchange.table.confirmed_s
        return (
            float("inf") if confirmed_s is None else self._timers.now_s() - confirmed_s
        )

    @property
    def fresh_age_ms(self) -> int:
        """Return the age for `Sender`; it is diagnostic, not evidence of freshness."""
        age_s = self._exchange.freshness_age_s()
        return age_to_ms(None if age_s == float("inf") else age_s)

    @property
    def is_watching(self) -> bool:
        """Return whether this daemon currently watches the key-value service."""
        age_s = self._exchange.attestation_age_s(self._zone)
        return self._role.is_active(self._timers.now_s(), age_s)

    def current(self) -> ConfigurationDocument | None:
        """Return the document in force."""
        return self._document

    def on_change(self, listener: ChangeListener) -> None:
        """Call `listener` with each document that comes into force."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Subscribe to messages and timers."""
        self._network.subscribe(ConfigurationRequest, self._handle_request)
        self._network.subscribe(ConfigurationOffer, self._handle_offer)
        self._view.on_change(self._handle_view_change)
        self._timers.on_pause(self._handle_pause)
        self._handle_view_change()
        self._timers.call_after(self._rng.random() * TICK_INTERVAL_S, self._start_ticks)

    def check_work_allowed(self, zone: str) -> Failure | None:
        """Return a failure if no work may start in `zone` now, else None.

        Call this before each start, at the entry and at the agent: it also
        detects a pause of the process that no timer has detected yet.
        """
        self._timers.check_pause()
        if self._document is None or not self._is_ready:
            return Failure(Reason.NOT_READY, Step.CONFIGURE, retry_after_s=1.0)
        age_s = self._exchange.freshness_age_s()
        if age_s > self._freshness_s:
            detail = f"version {self.version} was last known to be the newest "
            detail += "never" if age_s == float("inf") else f"{age_s:.1f} s ago"
            return Failure(
                Reason.STALE, Step.CONFIGURE, detail=detail, retry_after_s=1.0
            )
        if not self._document.is_zone_in(zone):
            return Failure(Reason.ZONE_OUT, Step.CONFIGURE, detail=zone)
        return None

    def adopt(self, document: ConfigurationDocument) -> None:
        """Put a newer document into force; ignore one of the same version."""
        if document.version < self.version:
            raise InvariantError(
                f"configuration would revert from {self.version} to {document.version}"
            )
        if document.version == self.version:
            return
        self._document = document
        self._offer = None
        self._fetch.record_adoption(document.version)
        self.counters.adopted += 1
        for listener in self._listeners:
            listener(document)
        self._exchange.push_beacons()

    def adopt_if_newer(self, document: ConfigurationDocument) -> None:
        """Put a document into force unless the held one is as new or newer.

        The document of an accepted patch is known only after the key-value
        service has answered; a peer may have sent a later one by then.
        """
        if document.version > self.version:
            self.adopt(document)

    def handle_sender(self, sender: Sender) -> None:
        """Process the sender's version, which the header of every frame carries.

        Request the document from a newer peer; send a beacon to an older one.
        """
        if sender.config_version > self.version:
            self._fetch.record_version(sender.name, sender.config_version, self.version)
            self._request_document()
        elif sender.config_version < self.version:
            now_s = self._timers.now_s()
            sent_s = self._beacon_sent_s.get(sender.name, float("-inf"))
            if now_s - sent_s >= OUTDATED_PEER_BEACON_INTERVAL_S:
                self._beacon_sent_s[sender.name] = now_s
                self._exchange.send_beacon(sender.name)

    def _start_ticks(self) -> None:
        self._timers.call_every(TICK_INTERVAL_S, self._run_tick)

    def _run_tick(self) -> None:
        now_s = self._timers.now_s()
        if len(self._beacon_sent_s) > BEACON_TIMES_MAX:
            self._beacon_sent_s.clear()
        self._update_readiness()
        is_watching = self.is_watching
        if is_watching and self._view.is_initialized:
            if self._may_attest(now_s):
                self._exchange.table.record_attestation(self._zone, now_s)
            self._start_watch()
        elif not self._is_ready and now_s >= self._fallback_read_at_s:
            self._start_fallback_read(now_s)
        self._request_document()
        self._exchange.run_tick(is_watching)

    def _update_readiness(self) -> None:
        if self._is_ready or self._document is None:
            return
        if self._exchange.freshness_age_s() <= self._freshness_s:
            self._is_ready = True
            self._attest_after_s = self._timers.now_s() + ATTESTATION_DELAY_S

    def _may_attest(self, now_s: float) -> bool:
        """Return whether this daemon would know of any version known to its zone.

        A watcher that was stopped, or that no other daemon of its zone can
        reach, could attest a version that its zone has already replaced.  A
        zone that was taken out would then continue to receive work.
        """
        others = set(self._view.zone_members(self._zone)) - {self._name}
        has_zone_contact = not others or not others.isdisjoint(self._network.peers())
        return self._is_ready and has_zone_contact and now_s >= self._attest_after_s

    def _start_watch(self) -> None:
        started_s = self._timers.now_s()
        if self._watch.is_waiting or started_s < self._watch_after_s:
            return
        pause_count = self._timers.pause_count
        self.counters.watch_calls += 1
        self._watch.start(
            self._revision,
            WATCH_TIMEOUT_S,
            lambda result: self._handle_watch_result(started_s, pause_count, result),
        )

    def _start_fallback_read(self, now_s: float) -> None:
        """Read the key-value service as a non-watcher that knows no fresh version.

        Exponential backoff with jitter keeps a fleet that starts all at once
        without an instance list from overloading the service.
        """
        self._fallback_read_delay_s = min(
            self._fallback_read_delay_s * 2, FALLBACK_READ_DELAY_MAX_S
        )
        self._fallback_read_at_s = now_s + self._fallback_read_delay_s * (
            0.5 + self._rng.random()
        )
        self._start_watch()

    def _handle_watch_result(
        self, started_s: float, pause_count: int, result: WatchResult
    ) -> None:
        if isinstance(result, Failure):
            self._record_watch_failure()
            return
        if result is not None:
            stored = decode_entry(result)
            if isinstance(stored, Failure):
                self._record_watch_failure()
                return
            if result.revision < self._revision or stored.document.version < (
                self.version
            ):
                self.counters.stale_reads += 1
                self._watch_after_s = self._timers.now_s() + WATCH_RETRY_DELAY_S
                return
            self._revision = result.revision
            self._version_at_revision = stored.document.version
            self.adopt(stored.document)
        # No entry newer than the held revision exists, so the held version is
        # the newest, provided that the revision belongs to that version.
        is_current = 0 < self._version_at_revision == self.version
        if is_current and pause_count == self._timers.pause_count:
            self._exchange.table.record_confirmation(started_s - READ_STALENESS_MAX_S)
            self._update_readiness()
        if self.is_watching:
            self._start_watch()

    def _record_watch_failure(self) -> None:
        self.counters.watch_failures += 1
        self._watch_after_s = self._timers.now_s() + WATCH_RETRY_DELAY_S

    def _request_document(self) -> None:
        peer = self._fetch.begin_request(self._timers.now_s())
        if peer is not None:
            self.counters.requests += 1
            self._network.send(peer, ConfigurationRequest(self.version))

    def _handle_request(self, sender: Sender, message: ConfigurationRequest) -> None:
        if self._document is None or self._document.version <= message.held_version:
            return
        if self._offer is None:
            data = zlib.compress(encode_document(self._document))
            self._offer = ConfigurationOffer(self._document.version, data)
        self.counters.offers += 1
        self._network.send(sender.name, self._offer)

    def _handle_offer(self, sender: Sender, message: ConfigurationOffer) -> None:
        if message.version <= self.version:
            return
        document = _decode_offer(message)
        if document is None:
            self.counters.bad_offers += 1
            self._fetch.record_bad_offer(sender.name)
            self._request_document()
            return
        self.adopt(document)

    def _handle_view_change(self) -> None:
        self._role.update_members(self._view.zone_members(self._zone))
        self._exchange.table.retain_zones(self._view.zones())

    def _handle_pause(self, gap_s: float) -> None:
        self._exchange.invalidate()
        if self._is_ready:
            self._attest_after_s = self._timers.now_s() + ATTESTATION_DELAY_S


def _decode_offer(offer: ConfigurationOffer) -> ConfigurationDocument | None:
    """Return the document, or None if it is corrupt or of another version."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(offer.document, DOCUMENT_MAX_BYTES + 1)
    except zlib.error:
        return None
    if len(data) > DOCUMENT_MAX_BYTES or not decompressor.eof:
        return None
    document = decode_document(data)
    if isinstance(document, Failure) or document.version != offer.version:
        return None
    return document


def create_configuration_controller(
    settings: DaemonSettings,
    network: Network,
    timers: TimerService,
    key_value: KeyValueStore,
    view: DaemonView,
    spawn: Spawn,
    rng: random.Random | None = None,
) -> ConfigurationController:
    """Create a controller; `spawn` is a task group's `start_soon`.

    Call `start` once, and `handle_sender` with every frame's sender.
    """
    return ConfigurationController(
        settings,
        network,
        timers,
        create_key_value_watch(key_value, spawn),
        view,
        rng or random.Random(),
    )
