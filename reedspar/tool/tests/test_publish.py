"""Tests of `reedspar publish`."""

import random
import tempfile
from pathlib import Path
from unittest import mock

from reedspar.admin import PatchRequest
from reedspar.errors import Failure, Reason, Step
from reedspar.tool import publish_command
from reedspar.tool.exit_codes import ExitCode
from reedspar.weights import decode_manifest

from .fake_fleet import FleetTest


class FakeOrigin:
    """In-memory origin that fails after a given number of uploads."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.puts_left = 1000

    async def has(self, name):
        return name in self.objects

    async def put(self, name, data):
        if not self.puts_left:
            return Failure(Reason.UNAVAILABLE, Step.ORIGIN_DRAW, "origin:1")
        self.puts_left -= 1
        self.objects[name] = data
        return None


class PublishTest(FleetTest):
    def setUp(self) -> None:
        super().setUp()
        self.origin = FakeOrigin()
        patch = mock.patch.object(
            publish_command, "create_http_weight_source", lambda *a, **k: self.origin
        )
        patch.start()
        self.addCleanup(patch.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "weights.bin"
        self.file.write_bytes(random.Random(1).randbytes(640_000))

    def publish(self, label: str, *more: str):
        arguments = ["--file", str(self.file), "--label", label]
        return self.run_tool(
            "publish", "drafter", *arguments, "--origin", "http://origin:1", *more
        )

    def test_version_is_complete_at_the_origin_once_in_use(self) -> None:
        run = self.publish("march")
        self.assertEqual(run.code, ExitCode.OK)
        version = self.configuration.read_document().models["drafter"]
        manifest = decode_manifest(
            self.origin.objects[version.manifest_digest], version.manifest_digest
        )
        self.assertTrue(set(manifest.chunk_digests) <= self.origin.objects.keys())
        self.assertEqual((version.label, version.sequence), ("march", 1))

    def test_interrupted_upload_changes_nothing_and_is_resumed(self) -> None:
        # The origin fails during an upload.  A version put into use with missing chunks
        # could never be loaded by any target.
        self.origin.puts_left = 2
        broken = self.publish("march")
        self.assertEqual(broken.code, ExitCode.UNREACHABLE)
        self.assertIn("origin_draw failed at origin:1", broken.errors)
        self.assertEqual(self.configuration.read_document().models, {})
        self.origin.puts_left = 2
        again = self.publish("march")
        self.assertEqual(again.code, ExitCode.OK)
        self.assertIn("3 chunks, 1 uploaded", again.output)

    def test_publishing_the_same_version_again_changes_nothing(self) -> None:
        self.publish("march")
        again = self.publish("march")
        self.assertEqual(again.code, ExitCode.OK)
        self.assertIn("in force already", again.output)
        self.assertEqual(self.configuration.read_document().version, 5)
        self.file.write_bytes(b"other")
        self.publish("april", "--json")
        version = self.configuration.read_document().models["drafter"]
        self.assertEqual((version.label, version.sequence), ("april", 2))

    def patch_during_upload(self, patch: dict) -> None:
        """Apply another operator's patch during the next upload."""
        put = self.origin.put

        async def put_and_patch(name, data):
            if patch:
                request = PatchRequest(
                    base_version=4, patch_id="other-0001", patch=dict(patch)
                )
                patch.clear()
                await self.configuration.apply_patch(request)
            return await put(name, data)

        self.origin.put = put_and_patch

    def test_unrelated_patch_during_the_upload_is_no_conflict(self) -> None:
        # An upload takes minutes.  It must not be refused as stale at its end because a
        # zone was taken out meanwhile, since it would have to be repeated.
        self.patch_during_upload({"zones": {"kingston-a": "out"}})
        run = self.publish("march")
        self.assertEqual(run.code, ExitCode.OK)
        document = self.configuration.read_document()
        self.assertEqual(
            (document.version, document.models["drafter"].sequence), (6, 1)
        )
        self.assertFalse(document.is_zone_in("kingston-a"))

    def test_other_version_of_the_model_is_not_overwritten(self) -> None:
        # Two operators publish different weights of a model at the same time.  The
        # later patch must not silently replace the first one's version.
        other = {
            "label": "hotfix",
            "sequence": 1,
            "manifest_digest": "ab" * 32,
            "root_digest": "cd" * 32,
            "size_bytes": 1,
        }
        self.patch_during_upload({"models": {"drafter": other}})
        run = self.publish("march")
        self.assertEqual(run.code, ExitCode.STALE)
        self.assertIn("drafter hotfix was published meanwhile", run.errors)
        label = self.configuration.read_document().models["drafter"].label
        self.assertEqual(label, "hotfix")

    def test_missing_file_is_refused(self) -> None:
        self.file.unlink()
        self.assertEqual(self.publish("march").code, ExitCode.REFUSED)
