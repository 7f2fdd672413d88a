"""Apply an operator's patch to the document, or say exactly why not.

A patch is a JSON Merge Patch (RFC 7396) on the document's JSON form without
`version` and `history`, which the system keeps itself.
"""

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from reedspar.errors import Failure, Reason, Step

from .document import ConfigurationDocument, PatchRecord

__all__ = [
    "DOCUMENT_LIMIT_BYTES",
    "HISTORY_LIMIT",
    "PatchRequest",
    "apply_patch",
    "describe_errors",
    "encode_document",
    "merge_patch",
    "parse_patch",
]

HISTORY_LIMIT = 200
DOCUMENT_LIMIT_BYTES = 1024 * 1024
"""The key-value service holds no larger value."""
DEPTH_LIMIT = 16
SYSTEM_KEYS = frozenset({"version", "history"})

PatchId = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]


class PatchRequest(BaseModel):
    """A patch as an operator sends it."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    patch_id: PatchId = Field(description="Chosen by the operator; unique.")
    base_version: int = Field(ge=0, description="The version that it is made against.")
    author: str = Field("", max_length=100)
    summary: str = Field("", max_length=200)
    changes: dict[str, Any] = Field(description="JSON Merge Patch, RFC 7396.")


def describe_errors(error: ValidationError) -> str:
    """Return each error with its path, one a line."""
    lines = []
    for item in error.errors(include_url=False):
        path = ".".join(str(part) for part in item["loc"])
        lines.append(f"{path}: {item['msg']}" if path else item["msg"])
    return "\n".join(lines)


def parse_patch(data: bytes) -> PatchRequest | Failure:
    """Return the patch in a JSON text, or `INVALID` with the path of each error."""
    try:
        return PatchRequest.model_validate_json(data)
    except ValidationError as error:
        return _invalid(describe_errors(error))


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
    """Return the document's JSON form, as the key-value service holds it."""
    return document.model_dump_json(exclude_defaults=True).encode()


def apply_patch(
    document: ConfigurationDocument, request: PatchRequest, accepted_at: str = ""
) -> ConfigurationDocument | Failure:
    """Return the next version, `CONFLICT` if stale, or `INVALID` with the paths."""
    if request.base_version != document.version:
        return _stale(document, request)
    if taken := SYSTEM_KEYS & request.changes.keys():
        return _invalid(
            "\n".join(f"{key}: kept by the system" for key in sorted(taken))
        )
    if _depth(request.changes) > DEPTH_LIMIT:
        return _invalid(f"changes: nested more than {DEPTH_LIMIT} deep")
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
    merged["history"] = [*document.history, record][-HISTORY_LIMIT:]
    try:
        patched = ConfigurationDocument.model_validate(merged)
    except ValidationError as error:
        return _invalid(describe_errors(error))
    if errors := _check_sequences(document, patched):
        return _invalid("\n".join(errors))
    size_bytes = len(encode_document(patched))
    if size_bytes > DOCUMENT_LIMIT_BYTES:
        return _invalid(f"{size_bytes} bytes; the limit is {DOCUMENT_LIMIT_BYTES}")
    return patched


def _check_sequences(
    before: ConfigurationDocument, after: ConfigurationDocument
) -> list[str]:
    errors = []
    for name, model in after.models.items():
        old = before.models.get(name)
        if old is None or old == model:
            continue
        # Agents order the weights of a model by sequence alone.  Another digest
        # under the same number, or a smaller one, would leave some targets on
        # the old weights for good, which shows as two digests under one label.
        if model.sequence < old.sequence or (
            model.sequence == old.sequence and model.root_digest != old.root_digest
        ):
            errors.append(
                f"models.{name}.sequence: {model.sequence} does not grow "
                f"from {old.sequence}"
            )
    return errors


def _depth(value: Any) -> int:
    depth = 0
    level = [value]
    while level and depth <= DEPTH_LIMIT:
        depth += 1
        level = [
            child
            for item in level
            if isinstance(item, dict | list)
            for child in (item.values() if isinstance(item, dict) else item)
        ]
    return depth


def _stale(document: ConfigurationDocument, request: PatchRequest) -> Failure:
    detail = (
        f"the patch is against version {request.base_version}; "
        f"the current version is {document.version}"
    )
    return Failure(Reason.CONFLICT, Step.CONFIGURE, detail=detail)


def _invalid(detail: str) -> Failure:
    return Failure(Reason.INVALID, Step.CONFIGURE, detail=detail)
