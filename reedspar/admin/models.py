"""JSON bodies of the operators' interface, validated by client and server."""

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field

from reedspar.errors import Failure, Reason, Step
from reedspar.links.messages import Role

__all__ = [
    "AgentStatus",
    "DaemonStatus",
    "EntryStatus",
    "ErrorBody",
    "EventPageBody",
    "LinkStatus",
    "MemberList",
    "MemberStatus",
    "PatchAccepted",
    "PatchError",
    "PatchRefused",
    "PatchRequest",
    "TransferStatus",
]

PATCH_ID_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{7,63}$"


class Body(BaseModel):
    """A JSON body; unknown fields, such as those of a newer release, are ignored."""

    model_config = ConfigDict(frozen=True)


class LinkStatus(Body):
    """A link to another daemon."""

    peer: str
    is_open: bool
    silence_s: float = 0.0


class TransferStatus(Body):
    """Progress of a version of a model at one target."""

    model: str
    root_digest: str
    phase: str = Field(
        description="waiting, fetching, staged, loading, offered or failed."
    )
    bytes_held: int = 0
    bytes_total: int = 0
    detail: str = ""


class AgentStatus(Body):
    """State of an agent's target."""

    pool: str
    target_status: str = Field(description="cold, ready, leaving or down.")
    in_flight: int = 0
    queued: int = 0
    limit: int = 0
    offered: dict[str, str] = Field(
        default_factory=dict, description="Root digest offered, by model."
    )
    transfers: tuple[TransferStatus, ...] = ()


class EntryStatus(Body):
    """State of an entry."""

    in_flight: int = 0
    target_count: int = Field(0, description="Targets available to the entry now.")


class DaemonStatus(Body):
    """State of a daemon."""

    name: str
    role: Role
    zone: str
    region: str
    incarnation: int
    config_version: int
    freshness_age_s: float | None = Field(
        None, description="Time since the last confirmation; None before the first."
    )
    is_ready: bool
    is_draining: bool
    uptime_s: float = 0.0
    links: tuple[LinkStatus, ...] = ()
    agent: AgentStatus | None = None
    entry: EntryStatus | None = None


class MemberStatus(Body):
    """A daemon known to the responding one."""

    name: str
    role: Role
    zone: str
    region: str
    host: str
    port: int
    http_port: int
    state: str = Field(description="live, leaving or lost.")
    incarnation: int = 0
    config_version: int = 0
    pool: str = ""


class MemberList(Body):
    """The daemons known to the responding one."""

    members: tuple[MemberStatus, ...]


class PatchRequest(BaseModel):
    """A change of the configuration, based on a given version."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    base_version: int = Field(ge=0)
    patch_id: Annotated[str, Field(pattern=PATCH_ID_PATTERN)]
    author: str = Field("", max_length=100)
    summary: str = Field("", max_length=200)
    patch: dict[str, Any] = Field(description="JSON merge patch (RFC 7386).")


class PatchAccepted(Body):
    """The patch is accepted, now or by an earlier request with the same id."""

    version: int


class PatchError(Body):
    """A rule that the patched document would violate."""

    path: str
    message: str


class PatchRefused(Body):
    """Why a patch was refused, or that its outcome is unknown."""

    reason: Reason
    step: Step = Step.CONFIGURE
    peer: str = ""
    detail: str = ""
    retry_after_s: float | None = None
    current_version: int | None = None
    errors: tuple[PatchError, ...] = ()


class ErrorBody(Body):
    """An error other than a refused patch, with its step and peer."""

    reason: Reason
    step: Step
    peer: str = ""
    detail: str = ""
    retry_after_s: float | None = None

    @classmethod
    def from_failure(cls, failure: Failure) -> "ErrorBody":
        """Return the body for a failure."""
        return cls(
            reason=failure.reason,
            step=failure.step,
            peer=failure.peer,
            detail=failure.detail,
            retry_after_s=failure.retry_after_s,
        )

    def to_failure(self) -> Failure:
        """Return the failure that the body describes."""
        return Failure(
            self.reason, self.step, self.peer, self.detail, self.retry_after_s
        )


class EventPageBody(Body):
    """Events after a sequence number."""

    process: str
    incarnation: int
    next_after: int
    lost_count: int
    oldest_s: float | None = Field(
        None,
        description="Time of the oldest stored event if earlier ones were dropped.",
    )
    last_sequence: int = Field(
        description="Sequence number of the last recorded event."
    )
    events: tuple[dict[str, Any], ...]
