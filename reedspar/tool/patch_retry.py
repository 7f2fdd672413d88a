"""Patches of the current document, made again after a conflict.

Commands such as ``zone out`` and ``publish`` state a goal and need no base version.
Their patch is based on the current version; if another patch is accepted first, the
document is read again and a new patch is made.  The command's `make_patch` decides
whether the goal still applies to the newer document.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from reedspar.admin import PatchAccepted
from reedspar.configuration import ConfigurationDocument
from reedspar.errors import Failure, Reason

from .exit_codes import ExitCode
from .patch_command import build_request
from .session import Session

__all__ = ["MakePatch", "PatchResult", "patch_current_document"]

PATCH_ATTEMPTS_MAX = 5

MakePatch = Callable[[ConfigurationDocument], dict[str, Any] | Failure | None]
"""Returns the patch, None if no change is needed, or a failure that prevents one."""


@dataclass(frozen=True, slots=True)
class PatchResult:
    """The version in which the goal is reached, and the document before the patch."""

    version: int
    before: ConfigurationDocument
    patch_id: str | None
    """None if no change was needed."""


async def patch_current_document(
    session: Session, make_patch: MakePatch, summary: str, base: int | None = None
) -> PatchResult | ExitCode:
    """Patch the current document; on failure, report it and return the exit code.

    With `base`, the patch is based on that version, and a conflict is not retried.
    """
    for attempt in range(PATCH_ATTEMPTS_MAX):
        document = await session.client.read_configuration()
        if isinstance(document, Failure):
            return session.report_failure(document)
        patch = make_patch(document)
        if isinstance(patch, Failure):
            return session.report_failure(patch)
        if patch is None and base in (None, document.version):
            return PatchResult(document.version, document, None)
        base_version = document.version if base is None else base
        request = build_request(base_version, patch or {}, "", summary)
        if isinstance(request, Failure):
            return session.report_failure(request)
        result = await session.client.apply_patch(request)
        if isinstance(result, PatchAccepted):
            return PatchResult(result.version, document, request.patch_id)
        is_retryable = result.reason is Reason.CONFLICT and base is None
        if not is_retryable or attempt == PATCH_ATTEMPTS_MAX - 1:
            code = session.report_refusal(result)
            if result.reason is Reason.OUTCOME_UNKNOWN:
                session.warn("  it may or may not be in force; run the command again")
            return code
    return ExitCode.STALE
