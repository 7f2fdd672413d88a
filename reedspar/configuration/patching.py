"""Validation and application of an operator's patch to the document.

A patch is a JSON Merge Patch (RFC 7396) on the document's JSON form without
`version` and `history`, which the system maintains.
"""

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from reedspar.errors import Failure, Reason, Step

from .document import ConfigurationDocument, PatchRecord

__all__ = [
    "DOCUMENT_MAX_BYTES",
    "HISTORY_RECORDS_MAX",
    "PatchRequest",
    "apply_patch",
    "describe_errors",
    "encode_document",
    "merge_patch",
    "parse_patch",
]

HISTORY_RECORDS_MAX = 200
DOCUMENT_MAX_BYTES = 1024 * 1024
"""The key-value service's limit on the size of a value."""
PATCH_DEPTH_MAX = 16
SYSTEM_KEYS = frozenset({"version", "history"})

PatchId = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]


class PatchRequest(BaseModel):
    """A patch as sent by an operator."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    patch_id: PatchId = Field(description="Chosen by the operator; unique.")
    base_version: int = Field(ge=0, description="The version that it is made against.")
    author: str = Field("", max_length=100)
    summary: str = Field("", max_length=200)
    changes: dict[str, Any] = Field(description="JSON Merge Patch, RFC 7396.")


def describe_errors(error: ValidationError) -> str:
    """Return the errors, one per line, each with its path."""
    lines = []
    for item in error.errors(include_url=False):
        path = ".".join(str(part) for part in item["loc"])
        lines.append(f"{path}: {item['msg']}" if path else item["msg"])
    return "\n".join(lines)


def parse_patch(data: bytes) -> PatchRequest | Failure:
    """Parse a patch from JSON; `INVALID` lists the path of each error."""
    try:
        return PatchRequest.model_validate_json(data)
    except ValidationError as error:
        return _make_invalid(describe_errors(error))


def merge_patch(target: Any, patch: Any) -> Any:
    """Return `target` with a JSON Merge Patch (RFC 7396, section 2) applied."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_patch(merged.get(key), value)
    return merged


def encode_document(document: ConfigurationDocument) -> bytes:
    """Return the document as JSON, as stored in the key-value service."""
    return document.model_dump_json(exclude_defaults=True).encode()


def apply_patch(
    document: ConfigurationDocument, request: PatchRequest, accepted_at: str = ""
) -> ConfigurationDocument | Failure:
    """Return the next version of the document.

    Fails with `CONFLICT` if the patch has another base version than `document`, or
    with `INVALID` and the path of each error.
    """
    if request.base_version != document.version:
        return _make_conflict(document, request)
    if reserved := SYSTEM_KEYS & request.changes.keys():
        return _make_invalid(
            "\n".join(f"{key}: kept by the system" for key in sorted(reserved))
        )
    if _measure_depth(request.changes) > PATCH_DEPTH_MAX:
        return _make_invalid(f"changes: nested more than {PATCH_DEPTH_MAX} deep")
    plain = document.model_dump(mode="json", exclude=set(SYSTEM_KEYS))
    version = document.version + 1
    record = PatchRecord(
        patch_id=request.patch_id,
        version=version,
        author=request.author,
        summary=request.summary,
        accepted_at=accepted_at,
    )
    merged = merge_patch(plain, request.changes)
    merged["version"] = version
    merged["history"] = [*document.history, record][-HISTORY_RECORDS_MAX:]
    try:
        patched = ConfigurationDocument.model_validate(merged)
    except ValidationError as error:
        return _make_invalid(describe_errors(error))
    if errors := _check_sequences(document, patched):
        return _make_invalid("\n".join(errors))
    size_bytes = len(encode_document(patched))
    if size_bytes > DOCUMENT_MAX_BYTES:
        return _make_invalid(f"{size_bytes} bytes; the limit is {DOCUMENT_MAX_BYTES}")
    return patched


def _check_sequences(
    before: ConfigurationDocument, after: ConfigurationDocument
) -> list[str]:
    errors = []
    for name, model in after.models.items():
        old = before.models.get(name)
        if old is None or old == model:
            continue
        # Agents order the weights of a model by sequence alone.  A smaller number,
        # or another digest under the same one, would leave some targets on the old
        # weights permanently.  Operators would see two digests under one label.
        if model.sequence < old.sequence or (
            model.sequence == old.sequence and model.root_digest != old.root_digest
        ):
            errors.append(
                f"models.{name}.sequence: {model.sequence} does not grow "
                f"from {old.sequence}"
            )
    return errors


def _measure_depth(value: Any) -> int:
    depth = 0
    level = [value]
    while level and depth <= PATCH_DEPTH_MAX:
        depth += 1
        level = [
            child
            for item in level
            if isinstance(item, dict | list)
            for child in (item.values() if isinstance(item, dict) else item)
        ]
    return depth


def _make_conflict(document: ConfigurationDocument, request: PatchRequest) -> Failure:
    detail = (
        f"the patch is against version {request.base_version}; "
        f"the current version is {document.version}"
    )
    return Failure(Reason.CONFLICT, Step.CONFIGURE, detail=detail)


def _make_invalid(detail: str) -> Failure:
    return Failure(Reason.INVALID, Step.CONFIGURE, detail=detail)
