"""Tests of each reader of documents that other programs write, with odd ones."""

import json
import tempfile
import unittest
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import httpx

from reedspar.configuration.patching import parse_patch
from reedspar.configuration.store import decode_document
from reedspar.errors import Failure
from reedspar.platform import KeyValueEntry
from reedspar.platform.http_instance_list import HttpInstanceList
from reedspar.platform.http_key_value import HttpKeyValueStore
from reedspar.requests.tests.fakes import DOCUMENT
from reedspar.requests.verdict_archive import _parse as parse_verdicts
from reedspar.timeline.log_lines import parse_log_line
from reedspar.tool.patch_input import read_patch
from reedspar.utils import digest_bytes
from reedspar.utils.tests.odd_json import list_odd_documents
from reedspar.weights.fencing import _decode as decode_fence
from reedspar.weights.manifest import build_manifest, decode_manifest
from reedspar.weights.manifest_exchange import _decode_answer as decode_peer_manifest

INSTANCE = {"name": "a", "zone": "z", "host": "10.0.0.1", "port": 1, "role": "entry"}
CAUSE = {"pool": "p", "fingerprint": "f", "parts": ["p"], "traits": ["p"]}
FENCE = {"number": 1, "ordered": [{"model": "m", "root_digest": "r", "sequence": 1}]}
LINE = {"time": "2026-12-05T00:00:00Z", "message": "m", "event": {"detail": {"a": 1}}}
PATCH = {"base_version": 1, "patch": {"pools": {"a": {"kind": "plain"}}}}
URL = "http://10.0.0.1"


class OddDocumentTest(unittest.TestCase):
    def read_all(self, document: Any, read: Callable[[bytes], object]) -> None:
        for data in list_odd_documents(document):
            with self.subTest(data=data[:200]):
                read(data)

    def test_stored_documents_are_read_or_refused(self) -> None:
        # Guards against a stored document that ends, or holds up, what reads it.
        readers: list[tuple[Any, Callable[[KeyValueEntry], object]]] = [
            ({"causes": [CAUSE]}, parse_verdicts),
            (FENCE, decode_fence),
            (
                json.loads(DOCUMENT.model_dump_json()),
                lambda entry: decode_document(entry.value),
            ),
        ]
        for document, read in readers:
            self.read_all(document, lambda data, r=read: r(KeyValueEntry("k", data, 1)))

    def test_manifests_are_read_or_refused(self) -> None:
        manifest = build_manifest("m", "v1", 1, b"weights")
        assert not isinstance(manifest, Failure)
        document = json.loads(manifest.model_dump_json())
        self.read_all(document, lambda data: decode_manifest(data, digest_bytes(data)))
        key = ("m", 1)
        self.read_all(
            document, lambda data: decode_peer_manifest(zlib.compress(data), key)
        )

    def test_answers_of_the_platform_are_read_or_refused(self) -> None:
        # Guards against answers that end a write or a read with an exception.
        async def read(data: bytes) -> None:
            transport = httpx.MockTransport(lambda r: httpx.Response(200, content=data))
            async with httpx.AsyncClient(transport=transport, base_url=URL) as client:
                store = HttpKeyValueStore(client, 1.0)
                await store.grant_lease(1.0)
                await store.compare_and_swap("k", b"", 0)
                await HttpInstanceList(client).fetch()

        for document in ({"revision": 3, "lease": "4"}, [INSTANCE]):
            self.read_all(document, lambda data: anyio.run(read, data))

    def test_input_of_the_tool_is_read_or_refused(self) -> None:
        # Guards against a command that ends with a traceback for one odd line or file.
        self.read_all(LINE, lambda data: parse_log_line(data.decode(errors="replace")))
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder, "patch.json")

            def read_file(data: bytes) -> None:
                file.write_bytes(data)
                read_patch(file, [])

            self.read_all(PATCH["patch"], read_file)
            toml = Path(folder, "patch.toml")
            toml.write_text("a = " + "[" * 10_000 + "]" * 10_000)
            self.assertIsInstance(read_patch(toml, []), Failure)
        self.read_all(
            {"a": 1}, lambda data: read_patch(None, ["a=" + data.decode("latin-1")])
        )

    def test_patches_are_applied_or_refused(self) -> None:
        self.read_all(PATCH, parse_patch)


if __name__ == "__main__":
    unittest.main()
