"""Settings of a daemon at a site whose callers and targets use their own protocols.

The platform, which writes the file at each start, may be newer than this program, so
unknown keys are ignored.
"""

from typing import Annotated, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

from reedspar.links.messages import Role

from .models import LinkSettings, Name, Port, TargetKind, TargetSettings, WeightSettings

__all__ = [
    "AdmissionMode",
    "AdmissionSettings",
    "BoundSettings",
    "LimitSettings",
    "ListenSettings",
    "SiteSettings",
    "SocketAddress",
]

AdmissionMode = Literal["auto", "on", "off"]
Weight = Annotated[float, Field(gt=0, allow_inf_nan=False)]

Milliseconds = Annotated[int, Field(ge=0)]
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


class SiteSection(BaseModel):
    """A table of the settings file; unknown keys are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class SocketAddress(SiteSection):
    """An IP address and a port."""

    host: str
    port: Port

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def _parse_address(value: object) -> object:
    """Parse ``host:port``; return any other value unchanged for the validation."""
    if not isinstance(value, str):
        return value
    host, _, port = value.rpartition(":")
    return {"host": host, "port": int(port) if port.isdecimal() else port}


class ListenSettings(SiteSection):
    """Addresses that the daemon listens on; an interface without one is disabled."""

    callers: SocketAddress | None = Field(
        None, description="Address for requests of callers, `ip:port`."
    )
    ready: SocketAddress | None = Field(
        None, description="Address for the platform's readiness check, `ip:port`."
    )
    directory: SocketAddress | None = Field(
        None,
        description="Address for callers that ask which entry to use, `ip:port`.",
    )
    peers_port: Port = Field(description="Port for other daemons.")
    metrics_port: Port = Field(description="Port for metrics.")

    @model_validator(mode="before")
    @classmethod
    def _parse_addresses(cls, values: object) -> object:
        if not isinstance(values, dict):
            return values
        names = ("callers", "ready", "directory")
        split = {n: _parse_address(values[n]) for n in names if values.get(n)}
        rest = {key: value for key, value in values.items() if key not in names}
        return rest | split


class BoundSettings(SiteSection):
    """Bounds that the platform sets for the system."""

    drain_ms: Milliseconds = Field(
        2000,
        description="Time within which a target that starts to shut down must stop "
        "receiving requests, ms.",
    )
    grace_ms: Milliseconds = Field(
        8000, description="Time from the stop signal to the forced end, ms."
    )
    version_ms: Milliseconds = Field(
        8000,
        description="Time after the naming of a version within which requests may "
        "still start on an older one, ms.",
    )
    retry_share: float = Field(
        0.2, ge=0, description="Maximum retries of all entries as a share of requests."
    )
    retry_slack: float = Field(
        100.0,
        ge=0,
        description="Retries of all entries allowed beyond the share, per window.",
    )
    retry_window_ms: Milliseconds = Field(
        10_000, description="Window in which the retries of all entries count, ms."
    )
    address_ttl_ms: Milliseconds = Field(
        2000, description="How long callers cache the addresses they were given, ms."
    )


class AdmissionSettings(SiteSection):
    """Who is refused while targets can't bear all requests."""

    mode: AdmissionMode = Field(
        "auto",
        description="Whether requests to model engines are refused by rank and "
        "workspace under overload: on, off, or auto (for pools whose routes have "
        "different priorities).",
    )
    floor: float = Field(
        0.1,
        ge=0,
        le=1,
        description="Least fraction of each rank's work that is admitted.",
    )
    weights: dict[str, Weight] = Field(
        {},
        description="Shares of workspaces within a rank, relative to each other; 1 for "
        "a workspace that is not named.",
    )


class LimitSettings(SiteSection):
    """Limits that the platform puts on the process; one that is absent is unlimited."""

    memory_mb: float | None = Field(
        None, gt=0, description="Memory beyond which the process is ended, MB."
    )
    held_share: float = Field(
        0.2,
        gt=0,
        le=1,
        description="Share of that memory for answers and bodies that callers and "
        "targets read slowly.",
    )
    cpu_share: float | None = Field(
        None, gt=0, description="Share of each processor core that the process may use."
    )
    cores: float = Field(1.0, gt=0, description="Number of cores, or their speed.")
    descriptors: int | None = Field(
        None, gt=0, description="Maximum number of file descriptors."
    )
    connections: int | None = Field(
        None,
        gt=0,
        description="Maximum number of connections of clients. By default three "
        "quarters of the descriptors beyond 200, and as many as fit a quarter of the "
        "memory at 40 kB each.",
    )
    requests: int | None = Field(
        None, gt=0, description="Requests in flight that the process can bear."
    )
    answer_mb: float = Field(
        1.0,
        gt=0,
        description="Maximum size of a target's answer that is no stream of events, "
        "MB.",
    )

    @model_validator(mode="before")
    @classmethod
    def _drop_empty(cls, values: object) -> object:
        """Drop values that the platform left empty."""
        if not isinstance(values, dict):
            return values
        return {key: value for key, value in values.items() if value != ""}

    @property
    def processor_cores(self) -> float | None:
        """Return the processor time that the process may use in a second."""
        return None if self.cpu_share is None else self.cpu_share * self.cores


class SiteSettings(SiteSection):
    """The settings file of a daemon at a site."""

    name: Name = Field(description="Name of the daemon, unique in the fleet.")
    role: Role = Field(description="Role of the daemon: entry or agent.")
    host: str = Field(description="IP address of this instance.")
    zone: Name = Field(description="Availability zone.")
    region: Name = Field(description="Region of the availability zone.")
    zones: dict[str, str] = Field(description="Region of each availability zone.")
    store: SocketAddress = Field(
        description="Address of the platform's store, `ip:port`."
    )
    listen: ListenSettings
    bounds: BoundSettings = BoundSettings()
    admission: AdmissionSettings = AdmissionSettings()
    limits: LimitSettings = LimitSettings()
    link_mbps: float = Field(
        1000.0, gt=0, description="Bandwidth of this instance's link, Mbit/s."
    )
    region_link_mbps: float = Field(
        10.0,
        gt=0,
        description="Bandwidth of the link between two regions for all traffic, "
        "Mbit/s.",
    )
    link_share: float = Field(
        0.9,
        gt=0,
        le=1,
        description="Share of a link for weights; the rest is left for requests.",
    )
    target_address: SocketAddress | None = Field(
        None, description="Address of the target beside an agent, `ip:port`."
    )
    pool: str = Field("", description="Service of the target beside an agent.")
    weights: WeightSettings = WeightSettings(
        draws_everywhere=True, request_timeout_s=1.5
    )

    @model_validator(mode="before")
    @classmethod
    def _parse_addresses(cls, values: object) -> object:
        if not isinstance(values, dict):
            return values
        names = ("store", "target_address")
        split = {n: _parse_address(values[n]) for n in names if values.get(n)}
        rest = {key: value for key, value in values.items() if key not in names}
        return rest | split

    @model_validator(mode="after")
    def _check_role(self) -> Self:
        if self.role is Role.ENTRY and self.listen.callers is None:
            raise ValueError("an entry needs listen.callers")
        if self.role is Role.AGENT and self.target_address is None:
            raise ValueError("an agent needs target_address")
        return self

    @property
    def links(self) -> LinkSettings:
        """Return the settings of links between daemons."""
        return LinkSettings(
            machine_bytes_per_s=self._to_weight_bytes_per_s(self.link_mbps),
            region_bytes_per_s=self._to_weight_bytes_per_s(self.region_link_mbps),
        )

    @property
    def target(self) -> TargetSettings | None:
        """Return the settings of an agent's target; None without its address."""
        if self.target_address is None:
            return None
        return TargetSettings(
            kind=TargetKind.MODEL_ENGINE,
            pool=self.pool,
            url=f"http://{self.target_address}",
        )

    def _to_weight_bytes_per_s(self, mbps: float) -> int:
        return round(mbps * BITS_PER_MEGABIT / BITS_PER_BYTE * self.link_share)
