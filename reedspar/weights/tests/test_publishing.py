"""Tests that publishing uploads missing objects, and the manifest last."""

import unittest

import anyio

from reedspar.errors import Failure
from reedspar.weights import Publication, publish_weights

from .fakes import FakeOrigin

FIRST = b"a" * 100 + b"b" * 100 + b"c" * 100
SECOND = b"a" * 100 + b"x" * 100 + b"c" * 100


def publish(origin: FakeOrigin, weights: bytes, sequence: int) -> Publication | Failure:
    return anyio.run(
        publish_weights, origin, "quotes", f"v{sequence}", sequence, weights, 100
    )


class PublishingTest(unittest.TestCase):
    def test_next_version_uploads_only_its_new_chunks(self) -> None:
        origin = FakeOrigin()
        publish(origin, FIRST, 1)
        publication = publish(origin, SECOND, 2)
        assert isinstance(publication, Publication)
        self.assertEqual(publication.uploaded_chunks, 1)
        self.assertEqual(origin.puts[-1], publication.version.manifest_digest)

    def test_repeated_publishing_uploads_only_missing_objects(self) -> None:
        # Guards against a manifest whose chunks are missing at the origin.  The origin
        # becomes unavailable after the first chunk, and the operator publishes again.
        class FailingOrigin(FakeOrigin):
            async def put(self, name: str, data: bytes) -> Failure | None:
                self.is_unavailable = len(self.puts) == 1
                return await super().put(name, data)

        origin = FailingOrigin()
        self.assertIsInstance(publish(origin, FIRST, 1), Failure)
        self.assertEqual(len(origin.objects), 1)
        origin.__class__ = FakeOrigin
        origin.is_unavailable = False
        publication = publish(origin, FIRST, 1)
        assert isinstance(publication, Publication)
        self.assertEqual(publication.uploaded_chunks, 2)
        self.assertIn(publication.version.manifest_digest, origin.objects)
