"""Tests that outcomes of the store are reported unchanged to operators."""

import unittest

import anyio

from reedspar.admin import DocumentHistory, PatchRefused, PatchRequest
from reedspar.admin import create_configuration_source as create_source
from reedspar.configuration import ConfigurationDocument
from reedspar.configuration.store import ConfigurationStore
from reedspar.errors import Failure, Reason, Step
from reedspar.platform import KeyValueEntry


class FakeKeyValue:
    """Key-value store with one key, compare-and-swap and simulated outages."""

    def __init__(self) -> None:
        self.entry: KeyValueEntry | None = None
        self.failure: Failure | None = None

    async def get(self, key):
        return self.failure or self.entry

    async def compare_and_swap(self, key, value, expected_revision, lease_id=""):
        revision = self.entry.revision if self.entry else 0
        if revision != expected_revision:
            return Failure(Reason.CONFLICT, Step.KEY_VALUE)
        self.entry = KeyValueEntry(key, value, revision + 1)
        return revision + 1


class StoredConfigurationSourceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.key_value = FakeKeyValue()
        self.history = DocumentHistory()
        self.adopted: list[ConfigurationDocument] = []
        self.source = create_source(
            ConfigurationStore(self.key_value),
            self.history,
            lambda: self.adopted[-1] if self.adopted else None,
            self.adopt,
        )

    def adopt(self, document: ConfigurationDocument) -> None:
        self.adopted.append(document)
        self.history.add(document)

    def apply(self, base: int, patch_id: str, patch: dict) -> int | PatchRefused:
        request = PatchRequest(base_version=base, patch_id=patch_id, patch=patch)
        return anyio.run(self.source.apply_patch, request)

    def test_accepted_patch_is_adopted_at_once(self) -> None:
        self.assertEqual(self.apply(0, "patch-0001", {"zones": {"a": "out"}}), 1)
        self.assertEqual(self.source.read_document().version, 1)
        self.apply(1, "patch-0002", {"zones": {"a": "in"}})
        earlier = anyio.run(self.source.read_version, 1)
        self.assertFalse(earlier.is_zone_in("a"))
        self.assertIsNone(anyio.run(self.source.read_version, 9))

    def test_stale_patch_is_refused_with_the_version_of_the_store(self) -> None:
        # Another entry accepted a patch that this one has not received yet.  The
        # reported current version must be that of the store, not the older one of this
        # entry.
        self.apply(0, "patch-0001", {"zones": {"a": "out"}})
        self.apply(1, "patch-0002", {"zones": {"a": "in"}})
        del self.adopted[-1]
        refused = self.apply(1, "patch-0003", {"zones": {"b": "out"}})
        self.assertIs(refused.reason, Reason.CONFLICT)
        self.assertEqual(refused.current_version, 2)

    def test_violated_rules_are_reported_by_path(self) -> None:
        patch = {"zones": {"a": "gone"}, "pools": {"p": {"kind": "plane"}}}
        refused = self.apply(0, "patch-0001", patch)
        self.assertIs(refused.reason, Reason.INVALID)
        paths = {error.path for error in refused.errors}
        self.assertEqual(paths, {"zones.a", "pools.p.kind"})

    def test_outage_is_reported_with_step_and_peer(self) -> None:
        self.key_value.failure = Failure(Reason.UNAVAILABLE, Step.KEY_VALUE, "kv:1")
        refused = self.apply(0, "patch-0001", {"zones": {"a": "out"}})
        self.assertEqual(
            (refused.reason, refused.step, refused.peer),
            (Reason.UNAVAILABLE, Step.KEY_VALUE, "kv:1"),
        )


if __name__ == "__main__":
    unittest.main()
