"""Patches of commands that name an aim (a zone out, a version) and no number.

The number is read and the patch made against it.  If others were faster, the
document is read again and the patch made anew, as long as the aim still holds
in the newer document; that is for the command's `make_patch` to say.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from reedspar.admin import PatchAccepted
from reedspar.configuration import ConfigurationDocument
from reedspar.errors import Failure, Reason

from .exit_codes import ExitCode
from .patching import build_request
from .session import Session

__all__ = ["Changed", "MakePatch", "patch_current"]

RACE_TRIES = 5

MakePatch = Callable[[ConfigurationDocument], dict[str, Any] | Failure | None]
"""Returns the patch, None if the aim is reached already, or why not to patch."""


@dataclass(frozen=True, slots=True)
class Changed:
    """The number under which the aim is reached."""

    version: int
    before: ConfigurationDocument
    patch_id: str | None
    """None if nothing had to be changed."""


async def patch_current(
    session: Session, make_patch: MakePatch, summary: str, base: int | None = None
) -> Changed | ExitCode:
    """Return the change, or tell what failed and return its exit code.

    With `base`, the patch is made against that number and a race is refused.
    """
    for attempt in range(RACE_TRIES):
        document = await session.client.read_configuration()
        if isinstance(document, Failure):
            return session.fail(document)
        patch = make_patch(document)
        if isinstance(patch, Failure):
            return session.fail(patch)
        if patch is None and base in (None, document.version):
            return Changed(document.version, document, None)
        number = document.version if base is None else base
        request = build_request(number, patch or {}, "", summary)
        if isinstance(request, Failure):
            return session.fail(request)
        result = await session.client.apply_patch(request)
        if isinstance(result, PatchAccepted):
            return Changed(result.version, document, request.patch_id)
        is_race = result.reason is Reason.CONFLICT and base is None
        if not is_race or attempt == RACE_TRIES - 1:
            code = session.fail_patch(result)
            if result.reason is Reason.OUTCOME_UNKNOWN:
                session.warn("  it may or may not be in force; run the command again")
            return code
    return ExitCode.STALE
