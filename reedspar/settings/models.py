"""The settings of a daemon, validated before any socket opens."""

from enum import Enum
from typing import Annotated, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

from reedspar.links.messages import Role

__all__ = [
    "DaemonSettings",
    "LinkSettings",
    "PlatformSettings",
    "RequestSettings",
    "TargetKind",
    "TargetSettings",
    "WeightSettings",
]

Port = Annotated[int, Field(ge=1, le=65535)]
Seconds = Annotated[float, Field(gt=0)]
Url = Annotated[str, Field(pattern=r"^https?://[^\s/]+$")]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
MEBIBYTE = 1024 * 1024


class Section(BaseModel):
    """A table of the settings file; unknown keys are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class TargetKind(Enum):
    """What stands behind an agent."""

    MODEL_ENGINE = "model_engine"
    PLAIN_SERVICE = "plain_service"


class PlatformSettings(Section):
    """Where the platform's services are."""

    key_value_url: Url = Field(description="Key-value service.")
    instance_list_url: Url = Field(description="Instance list.")
    origin_url: Url = Field(description="Origin of weights.")
    instance_poll_s: Seconds = Field(5.0, description="Time between list reads.")
    call_timeout_s: Seconds = Field(2.0, description="Bound on one platform call.")


class LinkSettings(Section):
    """Connections between daemons."""

    heartbeat_s: Seconds = Field(0.5, description="Between heartbeats, link in use.")
    idle_heartbeat_s: Seconds = Field(
        2.0, description="Between heartbeats, idle link; alike in all daemons."
    )
    silence_s: Seconds = Field(
        1.5, description="Silence after which a second connection is dialled."
    )
    dial_timeout_s: Seconds = Field(1.0, description="Bound on one dial.")
    machine_bytes_per_s: int = Field(
        12_500_000, gt=0, description="This machine's link, for weights."
    )
    region_bytes_per_s: int = Field(
        1_250_000, gt=0, description="The link between regions, for weights."
    )


class WeightSettings(Section):
    """Distribution of weights."""

    chunk_memory_bytes: int = Field(
        48 * MEBIBYTE, gt=0, description="Bound on chunks held by the agent."
    )
    origin_region: str = Field(
        "", description="Region in which the origin lies; empty: this one."
    )
    draws_everywhere: bool = Field(
        False,
        description="Agents of all regions draw from the origin, not those near it.",
    )
    copies_per_region: int = Field(
        2, ge=1, description="Hashed copies of each chunk that a region keeps."
    )
    request_timeout_s: Seconds = Field(
        3.0, description="After this a chunk is requested elsewhere."
    )
    switch_share: float = Field(
        0.34, gt=0, le=1, description="Share of a pool that may switch at once."
    )


class RequestSettings(Section):
    """Requests of callers."""

    address_ttl_s: Seconds = Field(5.0, description="How long callers keep addresses.")
    deadline_s: Seconds = Field(30.0, description="Deadline of a request without one.")
    body_limit_bytes: int = Field(MEBIBYTE, gt=0, description="Largest request body.")
    retry_share: float = Field(
        0.2, ge=0, le=1, description="Retries as a share of first attempts."
    )
    freshness_s: Seconds = Field(
        4.0, description="Without fresh confirmation no new work starts after this."
    )
    drain_timeout_s: Seconds = Field(
        60.0, description="Bound on a graceful stop, after which streams are cut."
    )
    claim_ttl_s: Seconds = Field(
        86_400.0, description="How long an order's claim is remembered."
    )


class TargetSettings(Section):
    """The target that an agent stands before."""

    kind: TargetKind = Field(description="model_engine or plain_service.")
    pool: Name = Field(description="The pool that the target belongs to.")
    url: Url = Field(description="Where the target listens.")
    checks_fencing: bool = Field(
        True, description="Whether it refuses orders with an old fencing number."
    )
    concurrency_limit: int = Field(
        16, ge=1, description="Requests that it bears at once when warm."
    )
    cold_concurrency: int = Field(
        1, ge=1, description="Requests that it bears at once in cold start."
    )
    report_lag_s: Seconds = Field(
        3.0, description="How old the target's own report may be."
    )
    answer_ttl_s: Seconds = Field(
        60.0, description="How long a finished answer is kept for resumption."
    )
    order_settle_s: Seconds = Field(
        5.0,
        description="How long a predecessor's order may be in flight to a target "
        "that ignores fencing numbers.",
    )


class DaemonSettings(Section):
    """The whole settings file."""

    name: Name = Field(description="Unique among the daemons.")
    role: Role = Field(description="entry or agent.")
    zone: Name = Field(description="Availability zone.")
    region: Name = Field(description="Region of the availability zone.")
    host: str = Field("127.0.0.1", description="IP number to listen on and announce.")
    port: Port = Field(description="Port for other daemons.")
    http_port: Port = Field(description="Port for callers and operators.")
    platform: PlatformSettings
    links: LinkSettings = LinkSettings()
    weights: WeightSettings = WeightSettings()
    requests: RequestSettings = RequestSettings()
    target: TargetSettings | None = None

    @model_validator(mode="after")
    def _check_role(self) -> Self:
        if self.role is Role.TOOL:
            raise ValueError("role must be entry or agent")
        if (self.role is Role.AGENT) != (self.target is not None):
            raise ValueError("a [target] table belongs to the role agent, and only it")
        if self.port == self.http_port:
            raise ValueError("port and http_port must differ")
        return self
