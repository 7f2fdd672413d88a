"""Tests of stale, invalid and well-formed patches."""

import unittest
from typing import Any

from reedspar.configuration import ConfigurationDocument
from reedspar.configuration.patching import (
    HISTORY_RECORDS_MAX,
    PatchRequest,
    apply_patch,
    merge_patch,
    parse_patch,
)
from reedspar.errors import Failure, Reason


def patch(base_version: int, changes: dict[str, Any], patch_id: str = "p") -> Any:
    return PatchRequest(patch_id=patch_id, base_version=base_version, changes=changes)


def model(sequence: int, digit: str = "a") -> dict[str, Any]:
    digest = digit * 64
    return {
        "label": f"v{sequence}",
        "sequence": sequence,
        "manifest_digest": digest,
        "root_digest": digest,
        "size_bytes": 1,
    }


class MergePatchTest(unittest.TestCase):
    def test_examples_of_rfc_7396_appendix_a(self) -> None:
        for target, change, expected in (
            ({"a": "b"}, {"a": "c"}, {"a": "c"}),
            ({"a": "b", "b": "c"}, {"a": None}, {"b": "c"}),
            ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
            ({"a": ["b"]}, {"a": "c"}, {"a": "c"}),
            ({"e": None}, {"a": 1}, {"e": None, "a": 1}),
            ([1, 2], {"a": "b", "c": None}, {"a": "b"}),
            ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
            ({"a": "foo"}, None, None),
        ):
            self.assertEqual(merge_patch(target, change), expected)


class ApplyPatchTest(unittest.TestCase):
    def assert_refused(self, result: object, reason: Reason, *texts: str) -> None:
        assert isinstance(result, Failure)
        self.assertIs(result.reason, reason)
        for text in texts:
            self.assertIn(text, result.detail)

    def apply(self, document: Any, changes: dict[str, Any]) -> Any:
        return apply_patch(document, patch(document.version, changes))

    def test_first_document_is_version_1_and_zones_go_out_and_in(self) -> None:
        first = self.apply(ConfigurationDocument(), {"zones": {"kingston-a": "out"}})
        self.assertEqual(first.version, 1)
        self.assertFalse(first.is_zone_in("kingston-a"))
        second = self.apply(first, {"zones": {"kingston-a": None}})
        self.assertTrue(second.is_zone_in("kingston-a"))
        self.assertEqual([record.version for record in second.history], [1, 2])

    def test_stale_patch_is_refused_with_the_current_version(self) -> None:
        # Two operators edit the same version.  Without the check, the second patch
        # could overwrite the first operator's change, which its author has not seen.
        document = self.apply(ConfigurationDocument(), {})
        result = apply_patch(document, patch(0, {}))
        self.assert_refused(result, Reason.CONFLICT, "current version is 1")

    def test_invalid_patch_is_refused_whole_with_every_path(self) -> None:
        changes = {
            "pools": {"tailor": {"kind": "steam"}},
            "workspaces": {"shop": {"share": 0, "colour": "red"}},
            "zones": {"kingston-a": "out"},
        }
        result = self.apply(ConfigurationDocument(), changes)
        self.assert_refused(
            result,
            Reason.INVALID,
            "pools.tailor.kind: ",
            "workspaces.shop.share: ",
            "workspaces.shop.colour: ",
        )

    def test_version_and_history_can_not_be_patched(self) -> None:
        result = self.apply(ConfigurationDocument(), {"version": 9, "history": []})
        self.assert_refused(result, Reason.INVALID, "version: ", "history: ")

    def test_sequence_of_a_model_must_increase(self) -> None:
        # An operator tries to return to older weights by writing the old sequence.
        # Targets that have seen the newer sequence would never load them.
        document = self.apply(ConfigurationDocument(), {"models": {"m": model(4)}})
        for bad in (model(3, "b"), model(4, "b")):
            result = self.apply(document, {"models": {"m": bad}})
            self.assert_refused(result, Reason.INVALID, "models.m.sequence: ")
        self.assertEqual(self.apply(document, {"models": {"m": model(5)}}).version, 2)

    def test_size_depth_and_history_are_bounded(self) -> None:
        names = {f"shop-{i}-{'x' * 50}": {"share": 2.5} for i in range(20_000)}
        result = self.apply(ConfigurationDocument(), {"workspaces": names})
        self.assert_refused(result, Reason.INVALID, "the limit is 1048576")
        nested: dict[str, Any] = {}
        for _ in range(500):
            nested = {"zones": nested}
        result = self.apply(ConfigurationDocument(), nested)
        self.assert_refused(result, Reason.INVALID, "deep")
        document = ConfigurationDocument()
        for _ in range(HISTORY_RECORDS_MAX + 5):
            document = self.apply(document, {})
        self.assertEqual(len(document.history), HISTORY_RECORDS_MAX)
        self.assertEqual(document.history[-1].version, HISTORY_RECORDS_MAX + 5)

    def test_malformed_patch_is_refused_with_its_fields(self) -> None:
        result = parse_patch(b'{"patch_id": "a b", "base_version": -1}')
        self.assert_refused(
            result, Reason.INVALID, "patch_id: ", "base_version: ", "changes: "
        )


if __name__ == "__main__":
    unittest.main()
