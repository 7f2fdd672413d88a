"""What operators send and receive, validated at the border on both sides."""

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field

from reedspar.errors import Failure, Reason, Step
from reedspar.links.messages import Role

__all__ = [
    "AgentStatus",
    "DaemonStatus",
    "EntryStatus",
    "ErrorBody",
    "EventsPage",
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
    """A JSON body; fields of a newer release are passed over."""

    model_config = ConfigDict(frozen=True)


class LinkStatus(Body):
    """A link to another daemon."""

    peer: str
    is_open: bool
    silence_s: float = 0.0


class TransferStatus(Body):
    """How far a version of a model has come at one target."""

    model: str
    root_digest: str
    phase: str = Field(
        description="waiting, fetching, staged, loading, offered or failed."
    )
    bytes_held: int = 0
    bytes_total: int = 0
    detail: str = ""


class AgentStatus(Body):
    """What a target agent says of its target."""

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
    """What an entry says of its work."""

    in_flight: int = 0
    target_count: int = Field(0, description="Targets that it may choose now.")


class DaemonStatus(Body):
    """What a daemon says of itself."""

    name: str
    role: Role
    zone: str
    region: str
    incarnation: int
    config_version: int
    freshness_age_s: float | None = Field(
        None, description="Since the last confirmation; None before the first."
    )
    is_ready: bool
    is_draining: bool
    uptime_s: float = 0.0
    links: tuple[LinkStatus, ...] = ()
    agent: AgentStatus | None = None
    entry: EntryStatus | None = None


class MemberStatus(Body):
    """A daemon that this one knows of."""

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
    """The daemons that one daemon knows of."""

    members: tuple[MemberStatus, ...]


class PatchRequest(BaseModel):
    """A change of the configuration against a named version."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    base_version: int = Field(ge=0)
    patch_id: Annotated[str, Field(pattern=PATCH_ID_PATTERN)]
    author: str = Field("", max_length=100)
    summary: str = Field("", max_length=200)
    patch: dict[str, Any] = Field(description="JSON merge patch (RFC 7386).")


class PatchAccepted(Body):
    """The patch is accepted, now or by an earlier request of the same id."""

    version: int


class PatchError(Body):
    """One rule that the document would break."""

    path: str
    message: str


class PatchRefused(Body):
    """Why a patch was not accepted, or that this isn't known."""

    reason: Reason
    step: Step = Step.CONFIGURE
    peer: str = ""
    detail: str = ""
    retry_after_s: float | None = None
    current_version: int | None = None
    errors: tuple[PatchError, ...] = ()


class ErrorBody(Body):
    """Any other error, with its step and peer."""

    reason: Reason
    step: Step
    peer: str = ""
    detail: str = ""
    retry_after_s: float | None = None

    @classmethod
    def from_failure(cls, failure: Failure) -> "ErrorBody":
        """Return the failure's body."""
        return cls(
            reason=failure.reason,
            step=failure.step,
            peer=failure.peer,
            detail=failure.detail,
            retry_after_s=failure.retry_after_s,
        )

    def to_failure(self) -> Failure:
        """Return the failure that the body tells of."""
        return Failure(
            self.reason, self.step, self.peer, self.detail, self.retry_after_s
        )


class EventsPage(Body):
    """Events after a sequence number."""

    process: str
    incarnation: int
    next_after: int
    lost_count: int
    oldest_s: float | None = Field(
        None, description="Time of the oldest event held, if earlier ones are gone."
    )
    last_sequence: int = Field(description="Of the latest event recorded.")
    events: tuple[dict[str, Any], ...]
