"""``reedspar config show``, ``history`` and ``diff``."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from reedspar.configuration import ConfigurationDocument
from reedspar.errors import Failure

from .differences import (
    change_to_json,
    compare_documents,
    format_change,
    to_editable_document,
)
from .exit_codes import ExitCode
from .fleet_queries import member_url
from .session import Session

__all__ = ["Diff", "History", "Show", "find_version"]


async def find_version(
    session: Session, version: int
) -> ConfigurationDocument | Failure:
    """Return a version from any daemon that still has it; version 0 is empty."""
    if version == 0:
        return ConfigurationDocument()
    current = await session.client.read_configuration()
    if isinstance(current, Failure) or current.version == version:
        return current
    members = await session.client.list_members()
    urls = [] if isinstance(members, Failure) else [member_url(m) for m in members]
    return await session.client.read_version(version, urls)


@cappa.command(name="show")
@dataclass
class Show:
    """Show the configuration with its version number."""

    version: Annotated[
        int | None, cappa.Arg(long=True, help="An earlier version number.")
    ] = None

    async def run(self, session: Session) -> ExitCode:
        """Write the document."""
        if self.version is None:
            found = await session.client.read_configuration()
        else:
            found = await find_version(session, self.version)
        if isinstance(found, Failure):
            return session.report_failure(found)
        if session.is_json:
            session.show_json(found)
            return ExitCode.OK
        session.show_line(f"version {found.version}")
        session.show_json(to_editable_document(found))
        return ExitCode.OK


@cappa.command(name="history")
@dataclass
class History:
    """List the accepted patches in the document's history, newest last."""

    async def run(self, session: Session) -> ExitCode:
        """Write the records of the history."""
        found = await session.client.read_configuration()
        if isinstance(found, Failure):
            return session.report_failure(found)
        if session.is_json:
            session.show_json([r.model_dump(mode="json") for r in found.history])
            return ExitCode.OK
        rows = [
            [str(r.version), r.accepted_at[:19], r.author, r.patch_id, r.summary]
            for r in found.history
        ]
        session.show_table(
            ["#version", "accepted (utc)", "author", "patch id", "summary"], rows
        )
        return ExitCode.OK


@cappa.command(name="diff")
@dataclass
class Diff:
    """Show the differences between two versions."""

    before: Annotated[int, cappa.Arg(help="The earlier version number.")]
    after: Annotated[
        int | None,
        cappa.Arg(help="The later version number; the current one if omitted."),
    ] = None

    async def run(self, session: Session) -> ExitCode:
        """Write the differences."""
        before = await find_version(session, self.before)
        if isinstance(before, Failure):
            return session.report_failure(before)
        if self.after is None:
            after = await session.client.read_configuration()
        else:
            after = await find_version(session, self.after)
        if isinstance(after, Failure):
            return session.report_failure(after)
        changes = list(
            compare_documents(to_editable_document(before), to_editable_document(after))
        )
        if session.is_json:
            document = {
                "before": before.version,
                "after": after.version,
                "changes": [change_to_json(change) for change in changes],
            }
            session.show_json(document)
            return ExitCode.OK
        session.show_line(f"version {before.version} -> {after.version}")
        for change in changes:
            session.show_line(format_change(change))
        return ExitCode.OK
