"""Messages by which entries and agents exchange demands, loads and pressure.

Names of targets and entries that every receiver knows anyway travel as 64-bit ids.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from reedspar.admission import Demand, DemandKey
from reedspar.messages import MessageRegistry, load_schema
from reedspar.utils import rendezvous_score

from .interfaces import TargetLoadRow
from .rows import DemandRow, DemandTable

__all__ = [
    "FRAME_OVERHEAD_BYTES",
    "DemandRows",
    "EntryNews",
    "LoadSubscription",
    "PoolStateNews",
    "RegionNews",
    "TargetRows",
    "WholeRequest",
    "decode_demands",
    "decode_targets",
    "encode_demands",
    "encode_pressure",
    "encode_targets",
    "estimate_size_bytes",
    "identify_entry",
    "identify_target",
    "register_messages",
]

UINT8_MAX = 2**8 - 1
UINT16_MAX = 2**16 - 1
FRAME_OVERHEAD_BYTES = 170
"""Approximate size of a frame with a message without rows."""
NAME_OVERHEAD_BYTES = 14
"""Average size of a pointer and the padding of a name, without its text."""
DEMAND_ROW_BYTES = 12
TARGET_ROW_BYTES = 18
PRESSURE_BYTES = 10


@dataclass(frozen=True, slots=True)
class DemandRows:
    """Demands by pool, rank and workspace."""

    pools: tuple[str, ...] = ()
    workspaces: tuple[str, ...] = ()
    pool_indexes: tuple[int, ...] = ()
    workspace_indexes: tuple[int, ...] = ()
    ranks: tuple[int, ...] = ()
    offered: tuple[float, ...] = ()
    admitted: tuple[float, ...] = ()
    is_whole: bool = False
    """Rows that are missing are zero; otherwise they are as they were."""


@dataclass(frozen=True, slots=True)
class TargetRows:
    """Loads of targets."""

    ids: tuple[int, ...] = ()
    running: tuple[int, ...] = ()
    waiting: tuple[int, ...] = ()
    taking: tuple[bool, ...] = ()
    slowdown_percents: tuple[int, ...] = ()
    memory_percents: tuple[int, ...] = ()
    ages_ms: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class EntryNews:
    """Tells the collectors of a region what arrives at an entry."""

    demands: DemandRows
    pressure_percent: int
    turn: int


@dataclass(frozen=True, slots=True)
class LoadSubscription:
    """Asks an agent to report the load of its target for the next seconds."""

    interval_ms: int
    """Minimum interval between two reports on average."""


@dataclass(frozen=True, slots=True)
class WholeRequest:
    """Asks for whole tables, as the receiver has missed the one that news builds on."""


@dataclass(frozen=True, slots=True)
class RegionNews:
    """Tells collectors of other regions the sums of a region."""

    region: str
    contribution_count: int
    """Number of entries whose demands are in the sums."""
    turn: int
    demands: DemandRows
    targets: TargetRows


@dataclass(frozen=True, slots=True)
class PoolStateNews:
    """Tells the entries of a region the sums of all regions.

    Entries pass it on to each other unchanged.
    """

    collector: str
    """Name of the entry that made the message."""
    sequence: int
    contribution_count: int
    """Number of entries whose demands are in the sums."""
    turn: int
    age_ms: int
    """Age of the oldest sums of a region."""
    demands: DemandRows
    targets: TargetRows
    entry_ids: tuple[int, ...] = ()
    pressure_percents: tuple[int, ...] = ()


def identify_target(host: str, port: int) -> int:
    """Return the id of the target at an address."""
    return rendezvous_score("target", f"{host}:{port}")


def identify_entry(name: str) -> int:
    """Return the id of an entry."""
    return rendezvous_score("entry", name)


def encode_demands(table: DemandTable, is_whole: bool) -> DemandRows:
    """Return the columns of a table."""
    pools: dict[str, int] = {}
    workspaces: dict[str, int] = {}
    for pool, key in table:
        pools.setdefault(pool, len(pools))
        workspaces.setdefault(key.workspace, len(workspaces))
    return DemandRows(
        tuple(pools),
        tuple(workspaces),
        tuple([pools[pool] for pool, _ in table]),
        tuple([workspaces[key.workspace] for _, key in table]),
        tuple([min(key.rank, UINT8_MAX) for _, key in table]),
        tuple([demand.offered for demand in table.values()]),
        tuple([demand.admitted for demand in table.values()]),
        is_whole,
    )


def decode_demands(rows: DemandRows) -> dict[DemandRow, Demand]:
    """Return the table of some columns; raise `ValueError` if they don't match."""
    columns = zip(
        rows.pool_indexes,
        rows.workspace_indexes,
        rows.ranks,
        rows.offered,
        rows.admitted,
        strict=True,
    )
    pools, workspaces = rows.pools, rows.workspaces
    try:
        return {
            (pools[pool], DemandKey(rank, workspaces[workspace])): Demand(
                offered, admitted
            )
            for pool, workspace, rank, offered, admitted in columns
        }
    except IndexError as error:
        raise ValueError("a row names no pool or workspace of the message") from error


def encode_targets(
    rows: Iterable[tuple[int, TargetLoadRow, float]],
) -> TargetRows:
    """Return the columns of targets' ids, loads and ages in seconds."""
    listed = list(rows)
    return TargetRows(
        tuple([target_id for target_id, _, _ in listed]),
        tuple([min(row.running, UINT16_MAX) for _, row, _ in listed]),
        tuple([min(row.waiting, UINT16_MAX) for _, row, _ in listed]),
        tuple([row.is_taking for _, row, _ in listed]),
        tuple([_to_percent(row.slowdown_factor, UINT16_MAX) for _, row, _ in listed]),
        tuple([_to_percent(row.memory_used, UINT8_MAX) for _, row, _ in listed]),
        tuple([min(round(age_s * 1000), UINT16_MAX) for _, _, age_s in listed]),
    )


def decode_targets(rows: TargetRows) -> list[tuple[int, TargetLoadRow, float]]:
    """Return ids, loads and ages in seconds; raise `ValueError` on a mismatch."""
    columns = zip(
        rows.ids,
        rows.running,
        rows.waiting,
        rows.taking,
        rows.slowdown_percents,
        rows.memory_percents,
        rows.ages_ms,
        strict=True,
    )
    return [
        (
            target_id,
            TargetLoadRow(running, waiting, is_taking, slowdown / 100, memory / 100),
            age_ms / 1000,
        )
        for target_id, running, waiting, is_taking, slowdown, memory, age_ms in columns
    ]


def encode_pressure(pressure: float) -> int:
    """Return a pressure in per cent, within the bounds of its column."""
    return _to_percent(pressure, UINT16_MAX)


def estimate_size_bytes(message: EntryNews | RegionNews | PoolStateNews) -> int:
    """Return approximately the size of the message's frame."""
    demands = message.demands
    names = (*demands.pools, *demands.workspaces)
    size = FRAME_OVERHEAD_BYTES + DEMAND_ROW_BYTES * len(demands.ranks)
    size += sum(len(name) + NAME_OVERHEAD_BYTES for name in names)
    if isinstance(message, RegionNews | PoolStateNews):
        size += TARGET_ROW_BYTES * len(message.targets.ids)
    if isinstance(message, PoolStateNews):
        size += PRESSURE_BYTES * len(message.entry_ids)
    return size


def register_messages(registry: MessageRegistry) -> None:
    """Add these message types to `registry`."""
    schema = load_schema(__file__, "pool_state.capnp")
    registry.add_all(
        schema, EntryNews, LoadSubscription, WholeRequest, RegionNews, PoolStateNews
    )


def _to_percent(value: float, limit: int) -> int:
    return min(max(0, round(value * 100)), limit)
