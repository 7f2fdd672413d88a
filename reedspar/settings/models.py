"""Settings of a daemon, validated before any socket is opened."""

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
    """A table of the settings file; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class TargetKind(Enum):
    """Kind of the target that an agent serves."""

    MODEL_ENGINE = "model_engine"
    PLAIN_SERVICE = "plain_service"


class PlatformSettings(Section):
    """Addresses of the platform's services."""

    key_value_url: Url = Field(description="URL of the key-value service.")
    instance_list_url: Url = Field(description="URL of the instance list.")
    origin_url: Url = Field(description="URL of the origin of weights.")
    instance_poll_s: Seconds = Field(
        5.0, description="Interval between reads of the instance list."
    )
    call_timeout_s: Seconds = Field(
        2.0, description="Timeout of a call to a platform service."
    )


class LinkSettings(Section):
    """Links between daemons."""

    heartbeat_s: Seconds = Field(
        0.5, description="Interval between heartbeats on a link in use."
    )
    idle_heartbeat_s: Seconds = Field(
        2.0,
        description="Interval between heartbeats on an idle link; must be the same in "
        "all daemons.",
    )
    silence_s: Seconds = Field(
        1.5,
        description="Time without data on a link after which a second connection "
        "is opened.",
    )
    dial_timeout_s: Seconds = Field(1.0, description="Timeout of a connection attempt.")
    machine_bytes_per_s: int = Field(
        12_500_000, gt=0, description="Bandwidth of this machine's link for weights."
    )
    region_bytes_per_s: int = Field(
        1_250_000, gt=0, description="Bandwidth of a link between regions for weights."
    )


class WeightSettings(Section):
    """Distribution of weights."""

    chunk_memory_bytes: int = Field(
        48 * MEBIBYTE,
        gt=0,
        description="Limit on the chunks that the agent holds in memory.",
    )
    origin_region: str = Field(
        "", description="Region of the origin; empty: the daemon's own region."
    )
    draws_everywhere: bool = Field(
        False,
        description="Whether agents of all regions read from the origin, instead of "
        "only those in its region.",
    )
    copies_per_region: int = Field(
        2, ge=1, description="Replicas of each chunk in a region, placed by its hash."
    )
    request_timeout_s: Seconds = Field(
        3.0, description="Time after which a chunk is requested from another source."
    )
    switch_share: float = Field(
        0.34,
        gt=0,
        le=1,
        description="Share of a pool's targets that may switch versions at once.",
    )


class RequestSettings(Section):
    """Requests of callers."""

    address_ttl_s: Seconds = Field(
        5.0, description="How long callers may cache addresses."
    )
    deadline_s: Seconds = Field(
        30.0, description="Deadline of a request that sets none."
    )
    body_limit_bytes: int = Field(
        MEBIBYTE, gt=0, description="Maximum size of a request body."
    )
    retry_share: float = Field(
        0.2, ge=0, le=1, description="Maximum retries as a share of first attempts."
    )
    freshness_s: Seconds = Field(
        4.0,
        description="Maximum age of the last confirmation of the configuration for "
        "new work to start.",
    )
    drain_timeout_s: Seconds = Field(
        60.0,
        description="Timeout of a graceful shutdown, after which streams are closed.",
    )
    claim_ttl_s: Seconds = Field(
        86_400.0, description="How long the claim of an order is kept."
    )


class TargetSettings(Section):
    """The target that an agent serves."""

    kind: TargetKind = Field(description="model_engine or plain_service.")
    pool: Name = Field(description="Pool of the target.")
    url: Url = Field(description="URL of the target.")
    checks_fencing: bool = Field(
        True,
        description="Whether the target rejects orders with an old fencing number.",
    )
    concurrency_limit: int = Field(
        16, ge=1, description="Maximum concurrent requests of a warm target."
    )
    cold_concurrency: int = Field(
        1, ge=1, description="Maximum concurrent requests during a cold start."
    )
    report_lag_s: Seconds = Field(
        3.0, description="Maximum age of the target's own report."
    )
    answer_ttl_s: Seconds = Field(
        60.0, description="How long a complete answer is kept for resumption."
    )
    order_settle_s: Seconds = Field(
        5.0,
        description="How long an order of an earlier agent may still take effect at a "
        "target that ignores fencing numbers.",
    )


class DaemonSettings(Section):
    """The settings file of a daemon."""

    name: Name = Field(description="Name of the daemon, unique in the fleet.")
    role: Role = Field(description="Role of the daemon: entry or agent.")
    zone: Name = Field(description="Availability zone.")
    region: Name = Field(description="Region of the availability zone.")
    host: str = Field("127.0.0.1", description="IP address to listen on and announce.")
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
            raise ValueError(
                "the role agent needs a [target] table, and no other role has one"
            )
        if self.port == self.http_port:
            raise ValueError("port and http_port must differ")
        return self
