"""``reedspar publish``: upload a version of a model, then put it into use."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa
from rich.progress import BarColumn, DownloadColumn, Progress, TextColumn

from reedspar.configuration import ConfigurationDocument, ModelVersion
from reedspar.errors import Failure, Reason, Step
from reedspar.platform import create_http_weight_source
from reedspar.weights import Publication, WeightSink, publish_weights

from .exit_codes import ExitCode
from .patch_retry import patch_current_document
from .session import Session

__all__ = ["ProgressSink", "Publish", "upload"]

UPLOAD_TIMEOUT_S = 60.0


class ProgressSink:
    """A `WeightSink` that displays the progress of the upload."""

    def __init__(self, store: WeightSink, progress: Progress, size_bytes: int) -> None:
        self._store = store
        self._progress = progress
        self._task = progress.add_task("uploading", total=size_bytes)

    async def has(self, name: str) -> bool | Failure:
        """Return whether the origin has the object."""
        return await self._store.has(name)

    async def put(self, name: str, data: bytes) -> Failure | None:
        """Store an object; storing it again has no effect."""
        failure = await self._store.put(name, data)
        if failure is None:
            self._progress.advance(self._task, len(data))
        return failure


async def upload(
    session: Session,
    store: WeightSink,
    model: str,
    label: str,
    sequence: int,
    file: Path,
) -> Publication | Failure:
    """Upload what is missing at the origin, with a progress bar on a terminal."""
    try:
        size_bytes = file.stat().st_size
    except OSError as error:
        detail = f"{file}: {error.strerror}"
        return Failure(Reason.INVALID, Step.MANIFEST, detail=detail)
    progress = Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        DownloadColumn(),
        console=session.errors,
        disable=not session.errors.is_terminal,
        transient=True,
    )
    with progress:
        sink = ProgressSink(store, progress, size_bytes)
        return await publish_weights(sink, model, label, sequence, file)


def is_published(
    document: ConfigurationDocument, model: str, published: ModelVersion
) -> bool:
    """Return whether the same weights with the same label are in use already."""
    current = document.models.get(model)
    return (
        current is not None
        and current.root_digest == published.root_digest
        and current.label == published.label
    )


@cappa.command(name="publish")
@dataclass
class Publish:
    """Upload a version of a model to the origin and put it into use."""

    model: Annotated[str, cappa.Arg(help="The model's name.")]
    file: Annotated[Path, cappa.Arg(long=True, help="The file with the weights.")]
    label: Annotated[str, cappa.Arg(long=True, help="Your name for the version.")]
    origin: Annotated[str, cappa.Arg(long=True, help="Address of the origin.")]

    async def run(self, session: Session) -> ExitCode:
        """Upload, then patch the configuration."""
        document = await session.client.read_configuration()
        if isinstance(document, Failure):
            return session.report_failure(document)
        if not any(self.model in pool.models for pool in document.pools.values()):
            session.warn(f"reedspar: note: no pool serves {self.model} yet")
        current = document.models.get(self.model)
        sequence = current.sequence + 1 if current else 1
        store = create_http_weight_source(self.origin, timeout_s=UPLOAD_TIMEOUT_S)
        published = await upload(
            session, store, self.model, self.label, sequence, self.file
        )
        if isinstance(published, Failure):
            return session.report_failure(published)
        if not session.is_json:
            _show_publication(session, published)
        return await self._patch_configuration(session, published.version)

    async def _patch_configuration(
        self, session: Session, version: ModelVersion
    ) -> ExitCode:
        """Patch the configuration; unrelated concurrent patches are no conflict."""

        def make_patch(
            document: ConfigurationDocument,
        ) -> dict[str, Any] | Failure | None:
            if is_published(document, self.model, version):
                return None
            current = document.models.get(self.model)
            if current is not None and current.sequence >= version.sequence:
                detail = (
                    f"{self.model} {current.label} was published meanwhile, as "
                    f"sequence {current.sequence}; publish again to replace it"
                )
                return Failure(Reason.CONFLICT, Step.CONFIGURE, detail=detail)
            return {"models": {self.model: version.model_dump(mode="json")}}

        summary = f"publish {self.model} {self.label}"
        result = await patch_current_document(session, make_patch, summary)
        if isinstance(result, ExitCode):
            return result
        if session.is_json:
            session.show_json({"version": result.version, "patch_id": result.patch_id})
        elif result.patch_id:
            session.show_line(f"accepted as version {result.version}")
        else:
            session.show_line(f"{self.model} {self.label} is in force already")
        return ExitCode.OK


def _show_publication(session: Session, published: Publication) -> None:
    version = published.version
    session.show_line(
        f"{published.model} {version.label} (sequence {version.sequence}): "
        f"{version.size_bytes} bytes in {published.chunk_count} chunks, "
        f"{published.uploaded_chunks} uploaded"
    )
    session.show_line(f"root digest {version.root_digest}")
