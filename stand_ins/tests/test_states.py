"""Tests of the stand-ins' internal state under virtual time."""

import unittest

from pydantic import TypeAdapter

from reedspar.platform import EngineState
from stand_ins.engine_model import EngineModel
from stand_ins.engine_settings import EngineOptions
from stand_ins.key_value_state import KeyValueState
from stand_ins.rate_limit import RateLimit


class KeyValueStateTest(unittest.TestCase):
    def test_expired_lease_deletes_its_keys(self) -> None:
        # A daemon dies without deleting its entries.  The entries under its lease
        # must expire, or its zone would count it as live indefinitely.
        state = KeyValueState()
        lease = state.grant(5.0, now_s=0.0)
        self.assertEqual(state.compare_and_swap("held", b"1", 0, lease), 1)
        self.assertEqual(state.compare_and_swap("kept", b"1", 0, ""), 2)
        state.expire(4.0)
        self.assertTrue(state.renew(lease, 4.0))
        state.expire(8.9)
        self.assertIsNotNone(state.get("held"))
        state.expire(9.0)
        self.assertIsNone(state.get("held"))
        self.assertIsNotNone(state.get("kept"))
        self.assertFalse(state.renew(lease, 9.0))

    def test_revisions_are_never_used_twice(self) -> None:
        # A key is deleted with its lease and written again.  If its revisions started
        # over, a writer that was paused meanwhile could overwrite the newer value.
        state = KeyValueState()
        lease = state.grant(1.0, now_s=0.0)
        old = state.compare_and_swap("k", b"1", 0, lease)
        assert old is not None
        state.expire(2.0)
        self.assertIsNotNone(state.compare_and_swap("k", b"2", 0, ""))
        self.assertIsNone(state.compare_and_swap("k", b"paused", old, ""))


class EngineModelTest(unittest.TestCase):
    def test_report_after_second_load_can_be_parsed(self) -> None:
        # Each load has a higher fencing number.  If the report has the number in
        # another field, agents can't parse the value 2: an agent that has ordered its
        # second load waits for a report indefinitely, and all others wait for it.
        model = EngineModel(EngineOptions())
        model.weights.fencing_number = 2
        adapter = TypeAdapter(EngineState)
        report = adapter.validate_json(adapter.dump_json(model.read_state()))
        self.assertEqual(report.fencing_number, 2)
        self.assertTrue(report.is_taking)


class RateLimitTest(unittest.TestCase):
    def test_reservation_waits_for_earlier_ones(self) -> None:
        limit = RateLimit(100.0)
        self.assertAlmostEqual(limit.reserve(50, now_s=10.0), 0.5)
        self.assertAlmostEqual(limit.reserve(50, now_s=10.0), 1.0)
        self.assertAlmostEqual(limit.reserve(10, now_s=20.0), 0.1)
