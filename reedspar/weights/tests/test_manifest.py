"""Tests that a manifest names exactly its weights, and that bad ones are refused."""

import hashlib
import tempfile
import unittest
from pathlib import Path

from reedspar.errors import Failure, Reason
from reedspar.utils import digest_bytes
from reedspar.weights import (
    Manifest,
    build_manifest,
    decode_manifest,
    encode_manifest,
)

WEIGHTS = bytes(range(256)) * 10


def build(weights: bytes | Path, size: int = 1000) -> Manifest:
    manifest = build_manifest("quotes", "v1", 1, weights, size)
    assert isinstance(manifest, Manifest)
    return manifest


class ManifestTest(unittest.TestCase):
    def test_root_digest_is_over_the_hex_digests_in_order(self) -> None:
        manifest = build(WEIGHTS)
        pieces = [WEIGHTS[:1000], WEIGHTS[1000:2000], WEIGHTS[2000:]]
        joined = "".join(hashlib.sha256(piece).hexdigest() for piece in pieces)
        self.assertEqual(
            manifest.root_digest, hashlib.sha256(joined.encode()).hexdigest()
        )
        self.assertEqual(manifest.size_bytes, len(WEIGHTS))

    def test_file_and_bytes_give_the_same(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, "weights")
            path.write_bytes(WEIGHTS)
            self.assertEqual(build(path), build(WEIGHTS))

    def test_round_trip(self) -> None:
        data = encode_manifest(build(WEIGHTS))
        self.assertEqual(decode_manifest(data, digest_bytes(data)), build(WEIGHTS))

    def test_damaged_bytes_are_corrupt(self) -> None:
        # A byte flips on the way from the origin.  Were the manifest used,
        # the target would be given other weights than those published.
        data = encode_manifest(build(WEIGHTS))
        failure = decode_manifest(data[:-1] + b"]", digest_bytes(data))
        assert isinstance(failure, Failure)
        self.assertIs(failure.reason, Reason.CORRUPT)

    def test_chunks_that_do_not_make_the_root_are_invalid(self) -> None:
        # A tool of another release published a manifest whose root digest
        # is not that of its chunks: no engine could ever confirm it.
        data = encode_manifest(build(WEIGHTS))
        data = data.replace(build(WEIGHTS).root_digest.encode(), b"0" * 64)
        failure = decode_manifest(data, digest_bytes(data))
        assert isinstance(failure, Failure)
        self.assertIs(failure.reason, Reason.INVALID)
        self.assertIn("root_digest", failure.detail)

    def test_bad_names_and_empty_weights_are_refused_with_the_key(self) -> None:
        for model, weights in (("Bad Name", WEIGHTS), ("quotes", b"")):
            failure = build_manifest(model, "v1", 1, weights)
            assert isinstance(failure, Failure)
            self.assertIs(failure.reason, Reason.INVALID)
            self.assertRegex(failure.detail, "^(model|chunks): ")
