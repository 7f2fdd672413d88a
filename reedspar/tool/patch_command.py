"""``reedspar config patch``, and the sending of patches."""

import getpass
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import cappa
from pydantic import ValidationError

from reedspar.admin import PatchAccepted, PatchRequest
from reedspar.configuration.patching import merge_patch
from reedspar.errors import Failure, Reason, Step

from .config_read_commands import find_version
from .confirmation import wait_until_confirmed
from .differences import (
    compare_documents,
    format_change,
    to_editable_document,
)
from .exit_codes import ExitCode
from .patch_input import create_patch_id, read_patch
from .session import Session

__all__ = ["Patch", "build_request", "read_author", "send_patch"]


def read_author() -> str:
    """Return the default author of a patch: the name of the user."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


@cappa.command(name="patch")
@dataclass
class Patch:
    """Change the configuration, based on a given version."""

    base: Annotated[
        int, cappa.Arg(long=True, help="The version number that the patch is based on.")
    ]
    file: Annotated[
        Path | None,
        cappa.Arg(long=True, help="A file with a merge patch, JSON or .toml."),
    ] = None
    assignments: Annotated[
        list[str],
        cappa.Arg(long="--set", help="path=value, repeatable; null removes the path."),
    ] = field(default_factory=list)
    author: Annotated[str, cappa.Arg(long=True, help="The author of the patch.")] = ""
    summary: Annotated[
        str, cappa.Arg(long=True, help="The reason for the patch, for the history.")
    ] = ""
    patch_id: Annotated[
        str, cappa.Arg(long=True, help="The id of an earlier patch, to send it again.")
    ] = ""
    dry_run: Annotated[
        bool, cappa.Arg(long=True, help="Show the differences without applying them.")
    ] = False
    wait: Annotated[
        float,
        cappa.Arg(long=True, help="Seconds to wait until all processes confirm it."),
    ] = 0.0

    async def run(self, session: Session) -> ExitCode:
        """Show the differences and send the patch."""
        patch = read_patch(self.file, self.assignments)
        if isinstance(patch, Failure):
            session.report_failure(patch)
            return ExitCode.USAGE
        base = await find_version(session, self.base)
        if not isinstance(base, Failure) and not session.is_json:
            before = to_editable_document(base)
            for change in compare_documents(before, merge_patch(before, patch)):
                session.show_line(format_change(change))
        if self.dry_run:
            return (
                session.report_failure(base)
                if isinstance(base, Failure)
                else ExitCode.OK
            )
        request = build_request(
            self.base, patch, self.author, self.summary, self.patch_id
        )
        if isinstance(request, Failure):
            session.report_failure(request)
            return ExitCode.USAGE
        return await send_patch(session, request, self.wait)


def build_request(
    base_version: int,
    patch: dict[str, Any],
    author: str,
    summary: str,
    patch_id: str = "",
) -> PatchRequest | Failure:
    """Return a request; a missing id or author is filled in."""
    try:
        return PatchRequest(
            base_version=base_version,
            patch_id=patch_id or create_patch_id(),
            author=author or read_author(),
            summary=summary,
            patch=patch,
        )
    except ValidationError as error:
        first = error.errors()[0]
        detail = f"{'.'.join(map(str, first['loc']))}: {first['msg']}"
        return Failure(Reason.INVALID, Step.CONFIGURE, detail=detail)


async def send_patch(
    session: Session, request: PatchRequest, wait_s: float = 0.0
) -> ExitCode:
    """Send a patch and report its outcome; if it is stale, also the newer changes."""
    result = await session.client.apply_patch(request)
    if isinstance(result, PatchAccepted):
        show_accepted(session, result, request)
        if wait_s > 0:
            return await wait_until_confirmed(session, result.version, wait_s)
        return ExitCode.OK
    code = session.report_refusal(result)
    if result.reason is Reason.CONFLICT and not session.is_json:
        await _show_newer_changes(session, request.base_version)
    if result.reason is Reason.OUTCOME_UNKNOWN and not session.is_json:
        session.warn(
            "  it may or may not be in force; it is safe to retry with the same "
            f"command and --patch-id {request.patch_id}"
        )
    return code


def show_accepted(
    session: Session, accepted: PatchAccepted, request: PatchRequest
) -> None:
    """Report the version number of an accepted patch."""
    if session.is_json:
        session.show_json({"version": accepted.version, "patch_id": request.patch_id})
    else:
        session.show_line(f"accepted as version {accepted.version}")


async def _show_newer_changes(session: Session, base_version: int) -> None:
    """Report the changes since the base version of a stale patch."""
    current = await session.client.read_configuration()
    if isinstance(current, Failure):
        return
    for record in current.history:
        if record.version > base_version:
            session.warn(f"  {record.version}: {record.author}: {record.summary}")
    base = await find_version(session, base_version)
    if isinstance(base, Failure):
        return
    for change in compare_documents(
        to_editable_document(base), to_editable_document(current)
    ):
        session.warn("  " + format_change(change))
