"""``reedspar watch``: the progress of a distribution."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

import anyio
import cappa
from rich.live import Live
from rich.progress_bar import ProgressBar
from rich.table import Table
from rich.text import Text

from reedspar.admin import AgentStatus, DaemonStatus
from reedspar.configuration import ConfigurationDocument
from reedspar.errors import Failure, Reason, Step
from reedspar.links.messages import Role

from .exit_codes import ExitCode
from .fleet_queries import QueryResult, read_fleet
from .session import Session

__all__ = ["TargetProgress", "Watch", "read_progress"]

TARGET_ROWS_MAX = 30
BAR_WIDTH = 20
OFFERED = "offered"


@dataclass(frozen=True, slots=True)
class TargetProgress:
    """Progress of a target with the current version."""

    target: str
    zone: str
    phase: str
    bytes_held: int
    bytes_total: int
    detail: str = ""

    @property
    def share(self) -> float:
        """Return the share of bytes that the target has, from 0 to 1."""
        if self.phase == OFFERED:
            return 1.0
        return self.bytes_held / self.bytes_total if self.bytes_total else 0.0


def read_progress(
    results: Iterable[QueryResult[DaemonStatus]],
    document: ConfigurationDocument,
    model: str,
) -> list[TargetProgress]:
    """Return the progress of all targets whose pool serves the model."""
    version = document.models[model]
    pools = {n for n, pool in document.pools.items() if model in pool.models}
    found = []
    for result in results:
        member, status = result.member, result.value
        if isinstance(status, Failure):
            if member.pool in pools:
                found.append(
                    TargetProgress(
                        member.name, member.zone, "unreachable", 0, version.size_bytes
                    )
                )
        elif status.agent and status.agent.pool in pools:
            found.append(
                _read_target_progress(
                    member.name,
                    member.zone,
                    status.agent,
                    model,
                    version.root_digest,
                    version.size_bytes,
                )
            )
    return found


def _read_target_progress(
    target: str,
    zone: str,
    agent: AgentStatus,
    model: str,
    root_digest: str,
    size_bytes: int,
) -> TargetProgress:
    if agent.offered.get(model) == root_digest:
        return TargetProgress(target, zone, OFFERED, size_bytes, size_bytes)
    for transfer in agent.transfers:
        if (transfer.model, transfer.root_digest) == (model, root_digest):
            total = transfer.bytes_total or size_bytes
            held = transfer.bytes_held
            return TargetProgress(
                target, zone, transfer.phase, held, total, transfer.detail
            )
    return TargetProgress(target, zone, "waiting", 0, size_bytes)


def group_by_zone(progress: Iterable[TargetProgress]) -> list[TargetProgress]:
    """Return a row per zone, for fleets that don't fit on a screen."""
    zones: defaultdict[str, list[TargetProgress]] = defaultdict(list)
    for target in progress:
        zones[target.zone].append(target)
    rows = []
    for zone, targets in sorted(zones.items()):
        done = sum(target.phase == OFFERED for target in targets)
        held = sum(target.bytes_held for target in targets)
        total = sum(target.bytes_total for target in targets)
        phase = f"{done}/{len(targets)} {OFFERED}"
        rows.append(TargetProgress(f"{len(targets)} targets", zone, phase, held, total))
    return rows


def render_progress(progress: list[TargetProgress], heading: str) -> Table:
    """Return a table with a progress bar per target, or per zone in a large fleet."""
    rows = progress if len(progress) <= TARGET_ROWS_MAX else group_by_zone(progress)
    table = Table(box=None, pad_edge=False, padding=(0, 2, 0, 0), title=heading)
    table.title_justify = "left"
    for name in ("TARGET", "ZONE", "PROGRESS"):
        table.add_column(name, no_wrap=True)
    table.add_column("%", justify="right", no_wrap=True)
    table.add_column("PHASE", no_wrap=True)
    for row in rows:
        table.add_row(
            row.target,
            row.zone,
            ProgressBar(total=1.0, completed=row.share, width=BAR_WIDTH),
            f"{100 * row.share:.0f}",
            Text(" ".join(filter(None, [row.phase, row.detail]))),
        )
    return table


class _LineDisplay:
    """Progress display for pipes and logs: a line per change of a target's phase."""

    def __init__(self, session: Session) -> None:
        self._session = session
        self._phases: dict[str, str] = {}

    def show(self, progress: list[TargetProgress]) -> None:
        """Write the phases that changed since the last call."""
        for target in progress:
            if self._phases.get(target.target) == target.phase:
                continue
            self._phases[target.target] = target.phase
            words = [target.target, target.zone, target.phase, target.detail]
            self._session.show_line("  ".join(filter(None, words)))


@cappa.command(name="watch")
@dataclass
class Watch:
    """Watch until all targets offer the current version of a model."""

    model: Annotated[str, cappa.Arg(help="The model's name.")]
    until: Annotated[
        float, cappa.Arg(long=True, help="Seconds after which to give up.")
    ] = 600.0
    interval: Annotated[
        float, cappa.Arg(long=True, help="Seconds between two updates.")
    ] = 1.0

    async def run(self, session: Session) -> ExitCode:
        """Poll the targets and display their progress."""
        if session.is_json or not session.output.is_terminal:
            lines = _LineDisplay(session)
            return await self._poll(session, lines, None)
        with Live(console=session.output, auto_refresh=False) as live:
            return await self._poll(session, None, live)

    async def _poll(
        self, session: Session, lines: _LineDisplay | None, live: Live | None
    ) -> ExitCode:
        deadline_s = anyio.current_time() + self.until
        while True:
            progress = await self._read_progress(session)
            if isinstance(progress, Failure):
                return session.report_failure(progress)
            is_offered_by_all = all(target.phase == OFFERED for target in progress)
            is_last_poll = (
                is_offered_by_all or anyio.current_time() + self.interval > deadline_s
            )
            if live is not None:
                live.update(render_progress(progress, self.model), refresh=True)
            elif lines is not None and not session.is_json:
                lines.show(progress)
            if is_last_poll:
                return self._finish(session, progress, is_offered_by_all)
            await anyio.sleep(self.interval)

    async def _read_progress(self, session: Session) -> list[TargetProgress] | Failure:
        document = await session.client.read_configuration()
        if isinstance(document, Failure):
            return document
        if self.model not in document.models:
            detail = f"no version of {self.model} was published"
            return Failure(Reason.NOT_FOUND, Step.CONFIGURE, detail=detail)
        results = await read_fleet(session.client, Role.AGENT)
        if isinstance(results, Failure):
            return results
        progress = read_progress(results, document, self.model)
        if not progress:
            detail = f"no target's pool serves {self.model}"
            return Failure(Reason.NOT_FOUND, Step.OFFER, detail=detail)
        return progress

    def _finish(
        self, session: Session, progress: list[TargetProgress], is_offered_by_all: bool
    ) -> ExitCode:
        done = sum(target.phase == OFFERED for target in progress)
        if session.is_json:
            targets = [
                {
                    "target": target.target,
                    "zone": target.zone,
                    "phase": target.phase,
                    "share": round(target.share, 4),
                    "detail": target.detail,
                }
                for target in progress
            ]
            session.show_json({"model": self.model, "targets": targets})
        else:
            session.show_line(f"{done} of {len(progress)} targets offer {self.model}")
        return ExitCode.OK if is_offered_by_all else ExitCode.INCOMPLETE
