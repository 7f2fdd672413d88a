"""Tests that each patch applies exactly once despite lost answers and stale reads."""

import random
import unittest
from typing import Any

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspar.configuration.patching import PatchRequest
from reedspar.configuration.store import (
    CURRENT_KEY,
    AcceptedPatch,
    ConfigurationStore,
    decode_document,
)
from reedspar.errors import Failure, Reason

from .fakes import FakeKeyValue


def make_store(key_value: FakeKeyValue) -> ConfigurationStore:
    return ConfigurationStore(
        key_value, sleep=lambda _: anyio.lowlevel.checkpoint(), utc_now=lambda: "now"
    )


def make_patch(patch_id: str, base_version: int) -> PatchRequest:
    changes = {"zones": {f"zone-{patch_id}": "out"}}
    return PatchRequest(patch_id=patch_id, base_version=base_version, changes=changes)


class ConfigurationStoreTest(unittest.TestCase):
    def accept(self, key_value: FakeKeyValue, *args: Any) -> AcceptedPatch | Failure:
        return anyio.run(make_store(key_value).accept, *args)

    def test_patch_with_lost_answer_is_found_by_patch_id(self) -> None:
        # The write takes effect but the answer is lost.  If the operator were told
        # that the patch failed, a second submission would apply it twice.
        key_value = FakeKeyValue(lost_answer_share=1.0)
        result = self.accept(key_value, make_patch("p1", 0))
        assert isinstance(result, AcceptedPatch)
        self.assertEqual((result.version, result.was_repeated), (1, True))
        again = self.accept(key_value, make_patch("p1", 0))
        assert isinstance(again, AcceptedPatch)
        self.assertEqual(again.version, 1)
        self.assertEqual(len(key_value.revisions(CURRENT_KEY)), 1)

    def test_outage_is_reported_as_unavailable(self) -> None:
        result = self.accept(FakeKeyValue(is_down=True), make_patch("p1", 0))
        assert isinstance(result, Failure)
        self.assertIs(result.reason, Reason.UNAVAILABLE)

    def test_patch_against_a_future_version_is_a_conflict(self) -> None:
        result = self.accept(FakeKeyValue(), make_patch("p1", 7))
        assert isinstance(result, Failure)
        self.assertIs(result.reason, Reason.CONFLICT)
        self.assertIn("current version is 0", result.detail)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        seed=st.integers(0, 2**32),
        lost_answer_share=st.sampled_from([0.0, 0.3, 0.8]),
        stale_share=st.sampled_from([0.0, 0.3, 0.8]),
    )
    def test_concurrent_patches_apply_once_each(
        self, seed: int, lost_answer_share: float, stale_share: float
    ) -> None:
        # Operators submit patches concurrently while answers are lost and reads are
        # stale.  A patch reported as accepted must be in the document's history with
        # its version, one reported as refused must not, and none may be there twice.
        rng = random.Random(seed)
        key_value = FakeKeyValue(rng, False, lost_answer_share, stale_share)
        results: dict[str, AcceptedPatch | Failure] = {}

        async def operate(name: str) -> None:
            store = make_store(key_value)
            base = 0
            for i in range(4):
                request = make_patch(f"{name}-{i}", base)
                for _ in range(rng.randrange(1, 3)):
                    results[request.patch_id] = await store.accept(request)
                newest = await store.read()
                assert not isinstance(newest, Failure)
                base = max(base, newest.document.version)

        async def race() -> None:
            async with anyio.create_task_group() as group:
                for name in ("ana", "bo", "cy"):
                    group.start_soon(operate, name)

        anyio.run(race)
        self.check(key_value, results)

    def check(
        self, key_value: FakeKeyValue, results: dict[str, AcceptedPatch | Failure]
    ) -> None:
        documents = [
            decode_document(entry.value) for entry in key_value.revisions(CURRENT_KEY)
        ]
        for i, document in enumerate(documents):
            assert not isinstance(document, Failure)
            self.assertEqual(document.version, i + 1)
        last = documents[-1] if documents else None
        assert not isinstance(last, Failure)
        versions = {r.patch_id: r.version for r in last.history} if last else {}
        self.assertEqual(len(versions), len(last.history) if last else 0)
        for patch_id, result in results.items():
            if isinstance(result, AcceptedPatch):
                self.assertEqual(versions.get(patch_id), result.version)
            elif result.reason is not Reason.OUTCOME_UNKNOWN:
                self.assertNotIn(patch_id, versions, result)


if __name__ == "__main__":
    unittest.main()
