"""Tests of manifests: digests, encoding and validation."""

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
    def test_root_digest_is_the_digest_of_the_ordered_hex_digests(self) -> None:
        manifest = build(WEIGHTS)
        pieces = [WEIGHTS[:1000], WEIGHTS[1000:2000], WEIGHTS[2000:]]
        joined = "".join(hashlib.sha256(piece).hexdigest() for piece in pieces)
        self.assertEqual(
            manifest.root_digest, hashlib.sha256(joined.encode()).hexdigest()
        )
        self.assertEqual(manifest.size_bytes, len(WEIGHTS))

    def test_file_and_bytes_have_the_same_manifest(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, "weights")
            path.write_bytes(WEIGHTS)
            self.assertEqual(build(path), build(WEIGHTS))

    def test_encoded_manifest_decodes_to_the_same_manifest(self) -> None:
        data = encode_manifest(build(WEIGHTS))
        self.assertEqual(decode_manifest(data, digest_bytes(data)), build(WEIGHTS))

    def test_corrupt_bytes_are_rejected(self) -> None:
        # Guards against staging other weights than the published ones after a byte of
        # the manifest was corrupted in transit.
        data = encode_manifest(build(WEIGHTS))
        failure = decode_manifest(data[:-1] + b"]", digest_bytes(data))
        assert isinstance(failure, Failure)
        self.assertIs(failure.reason, Reason.CORRUPT)

    def test_mismatched_root_digest_is_invalid(self) -> None:
        # Guards against accepting a manifest with a wrong root digest, published by a
        # tool of another release, which no engine could ever confirm.
        data = encode_manifest(build(WEIGHTS))
        data = data.replace(build(WEIGHTS).root_digest.encode(), b"0" * 64)
        failure = decode_manifest(data, digest_bytes(data))
        assert isinstance(failure, Failure)
        self.assertIs(failure.reason, Reason.INVALID)
        self.assertIn("root_digest", failure.detail)

    def test_failure_names_the_invalid_key(self) -> None:
        for model, weights in (("Bad Name", WEIGHTS), ("quotes", b"")):
            failure = build_manifest(model, "v1", 1, weights)
            assert isinstance(failure, Failure)
            self.assertIs(failure.reason, Reason.INVALID)
            self.assertRegex(failure.detail, "^(model|chunks): ")
