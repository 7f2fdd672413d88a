"""In-memory sources of a daemon, for tests of the interface and the tool."""

from dataclasses import dataclass, field

from pydantic import ValidationError

from reedspar.admin import (
    AdminSources,
    AgentStatus,
    DaemonStatus,
    MemberStatus,
    PatchError,
    PatchRefused,
    PatchRequest,
)
from reedspar.configuration import ConfigurationDocument, PatchRecord
from reedspar.configuration.patching import merge_patch
from reedspar.errors import Reason, Step
from reedspar.links.messages import Role
from reedspar.telemetry import create_metrics
from reedspar.timeline import EventRecorder


@dataclass
class FakeConfiguration:
    """A configuration source that applies patches, with failures on request."""

    documents: list[ConfigurationDocument] = field(
        default_factory=lambda: [ConfigurationDocument(version=1)]
    )
    is_down: bool = False
    lost_answers: int = 0
    """Number of next patches that are applied but reported with unknown outcome."""
    calls: list[PatchRequest] = field(default_factory=list)

    def read_document(self):
        return self.documents[-1]

    async def read_version(self, version):
        found = [d for d in self.documents if d.version == version]
        return found[0] if found else None

    async def apply_patch(self, request):
        self.calls.append(request)
        current = self.documents[-1]
        if self.is_down:
            return PatchRefused(
                reason=Reason.UNAVAILABLE, step=Step.KEY_VALUE, peer="10.0.0.9:2379"
            )
        for record in current.history:
            if record.patch_id == request.patch_id:
                return record.version
        if request.base_version != current.version:
            return PatchRefused(reason=Reason.CONFLICT, current_version=current.version)
        return self._accept(current, request)

    def _accept(self, current, request):
        version = current.version + 1
        record = PatchRecord(
            patch_id=request.patch_id,
            version=version,
            author=request.author,
            summary=request.summary,
            accepted_at="2026-12-02T23:00:00Z",
        )
        document = merge_patch(current.model_dump(mode="json"), request.patch)
        document["version"] = version
        document["history"] = [*document["history"], record.model_dump()]
        try:
            self.documents.append(ConfigurationDocument.model_validate(document))
        except ValidationError as error:
            errors = tuple(
                PatchError(path=".".join(map(str, e["loc"])), message=e["msg"])
                for e in error.errors()
            )
            return PatchRefused(reason=Reason.INVALID, errors=errors)
        if self.lost_answers:
            self.lost_answers -= 1
            return PatchRefused(
                reason=Reason.OUTCOME_UNKNOWN, step=Step.KEY_VALUE, peer="10.0.0.9:2379"
            )
        return version


@dataclass
class FakeDaemon:
    """A daemon with all sources."""

    name: str = "entry-1"
    role: Role = Role.ENTRY
    zone: str = "kingston-a"
    http_port: int = 8001
    configuration: FakeConfiguration = field(default_factory=FakeConfiguration)
    config_version: int | None = None
    members: tuple[MemberStatus, ...] = ()
    agent: AgentStatus | None = None
    freshness_age_s: float | None = 0.2

    def __post_init__(self):
        self.recorder = EventRecorder(self.name, 3, wall_clock=lambda: 1_000_000.5)
        self.metrics = create_metrics(self.name)

    def to_member_status(self) -> MemberStatus:
        return MemberStatus(
            name=self.name,
            role=self.role,
            zone=self.zone,
            region="kingston",
            host="127.0.0.1",
            port=self.http_port + 1000,
            http_port=self.http_port,
            state="live",
            pool=self.agent.pool if self.agent else "",
        )

    def list_members(self):
        return self.members or (self.to_member_status(),)

    def read_status(self):
        version = self.config_version
        if version is None:
            version = self.configuration.read_document().version
        return DaemonStatus(
            name=self.name,
            role=self.role,
            zone=self.zone,
            region="kingston",
            incarnation=3,
            config_version=version,
            freshness_age_s=self.freshness_age_s,
            is_ready=True,
            is_draining=False,
            agent=self.agent,
        )

    def create_sources(self) -> AdminSources:
        return AdminSources(self, self, self.configuration, self.recorder, self.metrics)
