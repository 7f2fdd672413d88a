"""This daemon's view of the fleet, updated by changes in the store's order."""

import logging
from collections.abc import Callable, Iterator

from reedspar.routes import CallerLimits, RouteTable
from reedspar.supervision import call_contained
from reedspar.timers import TimerService

from .addresses import AddressIndex
from .changes import (
    DaemonChange,
    FleetChange,
    RoutesChange,
    TargetChange,
    WeightsChange,
    ZoneChange,
)
from .named_versions import NamedVersions
from .records import DaemonRecord, NamedVersion, TargetRecord

__all__ = ["FleetView", "KnownTarget"]

_logger = logging.getLogger(__name__)
Listener = Callable[[FleetChange], None]


class KnownTarget:
    """A target's record, and the time until which the target may be cold."""

    def __init__(self, record: TargetRecord, now_s: float, cold_s: float) -> None:
        self.record = record
        self.cold_until_s = now_s + max(record.cold_left_s, cold_s)

    def is_cold(self, now_s: float) -> bool:
        """Return whether the target may still be cold."""
        return now_s < self.cold_until_s


class FleetView:
    """Applies changes in the order of the store, and notifies its listeners."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._targets: dict[str, KnownTarget] = {}
        self._by_pool: dict[str, dict[str, KnownTarget]] = {}
        self._addresses = AddressIndex()
        self._daemons: dict[str, DaemonRecord] = {}
        self._zones_out: set[str] = set()
        self._versions: dict[str, NamedVersions] = {}
        self._listeners: list[Listener] = []
        self._is_initialized = False
        self.routes: RouteTable | None = None

    @property
    def zones_out(self) -> frozenset[str]:
        """Return the zones that get no requests."""
        return frozenset(self._zones_out)

    @property
    def caller_limits(self) -> CallerLimits:
        """Return the limits in force, or the defaults before the first routes."""
        return self.routes.limits if self.routes is not None else CallerLimits()

    def on_change(self, listener: Listener) -> None:
        """Call `listener` after each change that was applied."""
        self._listeners.append(listener)

    def mark_initialized(self) -> None:
        """Mark the initial listing as complete; later targets count as just started."""
        self._is_initialized = True

    def target(self, target_id: str) -> KnownTarget | None:
        """Return a target, None if it is unknown."""
        return self._targets.get(target_id)

    def targets(self, pool: str) -> Iterator[KnownTarget]:
        """Yield the targets of a pool, except superseded ones."""
        for target_id, known in self._by_pool.get(pool, {}).items():
            if not self._addresses.is_superseded(target_id):
                yield known

    def all_target_records(self) -> Iterator[TargetRecord]:
        """Yield the records of all targets, except superseded ones."""
        for target_id, known in self._targets.items():
            if not self._addresses.is_superseded(target_id):
                yield known.record

    def confirm_address(self, target_id: str, host: str, port: int) -> None:
        """Record that a target itself has answered at an address."""
        known = self._targets.get(target_id)
        if known is None or (known.record.host, known.record.port) != (host, port):
            return
        if self._addresses.confirm(target_id):
            _logger.warning(
                "target answers at an address registered by a later one",
                extra={"target": target_id},
            )

    def is_superseded(self, target_id: str) -> bool:
        """Return whether a later target of the pool has registered at the address."""
        return self._addresses.is_superseded(target_id)

    def target_count(self) -> int:
        """Return the number of known targets, except superseded ones."""
        return len(self._targets) - self._addresses.superseded_count

    def daemons(self, role: str) -> tuple[DaemonRecord, ...]:
        """Return the daemons of a role, sorted by name."""
        return tuple(
            record for _, record in sorted(self._daemons.items()) if record.role == role
        )

    def peer_names(self, role: str, region: str | None, own_name: str) -> list[str]:
        """Return the sorted names of the other daemons with a role.

        With a region, only its daemons are returned.
        """
        return [
            record.name
            for record in self.daemons(role)
            if region in (None, record.region) and record.name != own_name
        ]

    def daemon_names(self) -> list[str]:
        """Return the names of all daemons, sorted."""
        return sorted(self._daemons)

    def find_target(self, host: str, port: int) -> KnownTarget | None:
        """Return the target at an address, None if there is none."""
        for known in self._targets.values():
            record = known.record
            is_at_address = (record.host, record.port) == (host, port)
            if is_at_address and not self.is_superseded(record.id):
                return known
        return None

    def daemon(self, name: str) -> DaemonRecord | None:
        """Return a daemon's record, None if it is unknown."""
        return self._daemons.get(name)

    def version_of(self, model: str) -> NamedVersion | None:
        """Return the latest named version of a model, if any."""
        named = self._versions.get(model)
        return named.newest if named is not None else None

    def versions_of(self, model: str) -> tuple[NamedVersion, ...]:
        """Return the named versions of a model in ascending order."""
        named = self._versions.get(model)
        return named.all() if named is not None else ()

    def all_versions(self) -> Iterator[NamedVersion]:
        """Yield the named versions of every model."""
        for named in self._versions.values():
            yield from named.all()

    def record_naming_time(
        self, model: str, version: int, named_at_s: float, peer: str
    ) -> None:
        """Correct a version's naming time to a peer's if that is earlier."""
        named = self._versions.get(model)
        if named is not None:
            named.record_naming_time(version, named_at_s, self._timers.now_s(), peer)

    def apply(self, change: FleetChange) -> None:
        """Apply a change, unless it is outdated or has no effect."""
        if isinstance(change, RoutesChange):
            is_changed = self._apply_routes(change.table)
        elif isinstance(change, TargetChange):
            is_changed = self._apply_target(change)
        elif isinstance(change, DaemonChange):
            is_changed = self._apply_daemon(change)
        elif isinstance(change, ZoneChange):
            is_changed = self._apply_zone(change)
        else:
            is_changed = self._apply_version(change)
        if is_changed:
            for listener in self._listeners:
                call_contained("fleet listener", listener, change)

    def _apply_routes(self, table: RouteTable) -> bool:
        # A peer or a late answer may deliver an older table, with which a removed route
        # or key would work again.
        if self.routes is not None and table.version <= self.routes.version:
            return False
        self.routes = table
        _logger.info("routes in force", extra={"version": table.version})
        return True

    def _apply_target(self, change: TargetChange) -> bool:
        known = self._targets.get(change.target_id)
        record = change.record
        if record is None:
            if known is None:
                return False
            self._remove_target(known)
            self._addresses.remove(change.target_id)
            _logger.info("target gone", extra={"target": change.target_id})
            return True
        if known is not None and known.record == record:
            return False
        now_s = self._timers.now_s()
        updated = KnownTarget(record, now_s, self._initial_cold_s(known, record))
        if known is not None and not self._is_restart(known, record):
            updated.cold_until_s = max(updated.cold_until_s, known.cold_until_s)
        if known is not None:
            self._remove_target(known)
        self._targets[record.id] = updated
        self._by_pool.setdefault(record.pool, {})[record.id] = updated
        self._addresses.add(record, change.revision)
        _logger.info("target changed", extra={"target": record})
        return True

    def _remove_target(self, known: KnownTarget) -> None:
        del self._targets[known.record.id]
        del self._by_pool[known.record.pool][known.record.id]

    def _is_restart(self, known: KnownTarget, record: TargetRecord) -> bool:
        return known.record.boot_id != record.boot_id

    def _initial_cold_s(self, known: KnownTarget | None, record: TargetRecord) -> float:
        """Return how long a target that has just started is assumed to be cold.

        Its first record may be written before it reports a cold start.  A full share of
        requests would overload and crash it.
        """
        has_just_started = (
            self._is_initialized if known is None else self._is_restart(known, record)
        )
        if not has_just_started or self.routes is None:
            return 0.0
        service = self.routes.services.get(record.pool)
        return service.cold_s if service is not None else 0.0

    def _apply_daemon(self, change: DaemonChange) -> bool:
        known = self._daemons.get(change.name)
        if known == change.record:
            return False
        if change.record is None:
            del self._daemons[change.name]
            _logger.info("daemon gone", extra={"peer": change.name})
        else:
            self._daemons[change.name] = change.record
            _logger.info("daemon changed", extra={"peer": change.name})
        return True

    def _apply_zone(self, change: ZoneChange) -> bool:
        if (change.zone in self._zones_out) == change.is_out:
            return False
        if change.is_out:
            self._zones_out.add(change.zone)
        else:
            self._zones_out.discard(change.zone)
        _logger.info("zone", extra={"zone": change.zone, "is_out": change.is_out})
        return True

    def _apply_version(self, change: WeightsChange) -> bool:
        named = self._versions.setdefault(change.model, NamedVersions(change.model))
        if not named.add(change.version, self._timers.now_s()):
            return False
        _logger.info(
            "weights named", extra={"model": change.model, "version": change.version}
        )
        return True
