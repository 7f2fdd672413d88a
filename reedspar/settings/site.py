"""The settings of a daemon on a site whose callers and targets speak another wire.

The platform writes the file anew at each start, so unknown keys are ignored:
it may know more than this version of the program does.
"""

from typing import Annotated, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

from reedspar.links.messages import Role

from .models import LinkSettings, Name, Port, TargetKind, TargetSettings, WeightSettings

__all__ = ["BoundSettings", "ListenSettings", "SiteSettings", "SocketAddress"]

Milliseconds = Annotated[int, Field(ge=0)]
BITS_PER_BYTE = 8
MEGA = 1_000_000


class SiteSection(BaseModel):
    """A table of the settings file; unknown keys are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class SocketAddress(SiteSection):
    """An IP number and a port."""

    host: str
    port: Port

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def _parse_address(value: object) -> object:
    """Read ``host:port``; anything else is left to the validation."""
    if not isinstance(value, str):
        return value
    host, _, port = value.rpartition(":")
    return {"host": host, "port": int(port) if port.isdecimal() else port}


class ListenSettings(SiteSection):
    """Where the daemon listens; an address that is missing is not served."""

    callers: SocketAddress | None = Field(
        None, description="Requests of callers, `ip:port`."
    )
    ready: SocketAddress | None = Field(
        None, description="The platform's check, `ip:port`."
    )
    directory: SocketAddress | None = Field(
        None, description="Callers that ask which address to use, `ip:port`."
    )
    peers_port: Port = Field(description="Port for other daemons.")
    metrics_port: Port = Field(description="Port for metrics.")

    @model_validator(mode="before")
    @classmethod
    def _split(cls, values: object) -> object:
        if not isinstance(values, dict):
            return values
        names = ("callers", "ready", "directory")
        split = {n: _parse_address(values[n]) for n in names if values.get(n)}
        rest = {key: value for key, value in values.items() if key not in names}
        return rest | split


class BoundSettings(SiteSection):
    """Times and shares that the platform holds the system to."""

    drain_ms: Milliseconds = Field(
        2000, description="From a target's leaving to the last request it may get, ms."
    )
    grace_ms: Milliseconds = Field(
        8000, description="From the signal to stop to the end by force, ms."
    )
    version_ms: Milliseconds = Field(
        8000,
        description="From a named version to the last request on an older one, ms.",
    )
    retry_share: float = Field(
        0.2, ge=0, description="Retries of all entries as a share of requests."
    )
    retry_slack: float = Field(
        100.0, ge=0, description="Retries of all entries beyond the share, a window."
    )
    address_ttl_ms: Milliseconds = Field(
        2000, description="How long callers keep the addresses they were told, ms."
    )


class SiteSettings(SiteSection):
    """The whole settings file of a site's daemon."""

    name: Name = Field(description="Unique among the daemons.")
    role: Role = Field(description="entry or agent.")
    host: str = Field(description="IP number of this instance.")
    zone: Name = Field(description="Availability zone.")
    region: Name = Field(description="Region of the availability zone.")
    zones: dict[str, str] = Field(description="Region of each availability zone.")
    store: SocketAddress = Field(description="The platform's store, `ip:port`.")
    listen: ListenSettings
    bounds: BoundSettings = BoundSettings()
    link_mbps: float = Field(1000.0, gt=0, description="This instance's link, Mbit/s.")
    region_link_mbps: float = Field(
        10.0, gt=0, description="The link between two regions, all traffic, Mbit/s."
    )
    link_share: float = Field(
        0.9,
        gt=0,
        le=1,
        description="Part of a link that weights may take; the rest is for requests.",
    )
    target_address: SocketAddress | None = Field(
        None, description="Where the target beside an agent listens, `ip:port`."
    )
    pool: str = Field("", description="Service of the target beside an agent.")
    weights: WeightSettings = WeightSettings(
        draws_everywhere=True, request_timeout_s=1.5
    )

    @model_validator(mode="before")
    @classmethod
    def _split(cls, values: object) -> object:
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
        """Return the terms of links between daemons."""
        return LinkSettings(
            machine_bytes_per_s=self._to_bytes(self.link_mbps),
            region_bytes_per_s=self._to_bytes(self.region_link_mbps),
        )

    @property
    def target(self) -> TargetSettings | None:
        """Return what an agent needs to know of its target."""
        if self.target_address is None:
            return None
        return TargetSettings(
            kind=TargetKind.MODEL_ENGINE,
            pool=self.pool,
            url=f"http://{self.target_address}",
        )

    def _to_bytes(self, mbps: float) -> int:
        return round(mbps * MEGA / BITS_PER_BYTE * self.link_share)
