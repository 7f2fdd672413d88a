"""Tests of the key-value adapter."""

import socket
import unittest

import anyio
import httpx

from reedspar.errors import Failure, Reason
from reedspar.platform import KeyValueEntry, create_http_key_value_store
from stand_ins.key_value import create_app
from stand_ins.serving import open_server


async def set_faults(url: str, **faults: object) -> None:
    async with httpx.AsyncClient(trust_env=False) as client:
        answer = await client.put(f"{url}/control/faults", json=faults)
        answer.raise_for_status()


class KeyValueTest(unittest.IsolatedAsyncioTestCase):
    def assert_reason(self, result: object, reason: Reason) -> None:
        self.assertIsInstance(result, Failure)
        assert isinstance(result, Failure)
        self.assertIs(result.reason, reason, str(result))

    async def test_writes_only_over_the_expected_revision(self) -> None:
        async with open_server(create_app()) as url:
            store = create_http_key_value_store(url)
            self.assertIsNone(await store.get("a/b c"))
            first = await store.compare_and_swap("a/b c", b"1", 0)
            assert isinstance(first, int)
            stale = await store.compare_and_swap("a/b c", b"2", 0)
            self.assert_reason(stale, Reason.CONFLICT)
            entry = await store.get("a/b c")
            self.assertEqual(entry, KeyValueEntry("a/b c", b"1", first))
            largest = await store.compare_and_swap("big", bytes(1024 * 1024), 0)
            self.assertIsInstance(largest, int)
            too_large = await store.compare_and_swap("big", bytes(1024 * 1024 + 1), 0)
            self.assert_reason(too_large, Reason.INVALID)
            await store.aclose()

    async def test_write_with_lost_answer_has_unknown_outcome_and_is_readable(
        self,
    ) -> None:
        # Guards against treating a lost response as a refusal: the service has
        # written, so the caller would write twice, or report to the operator that
        # an applied patch had failed.
        async with open_server(create_app()) as url:
            store = create_http_key_value_store(url)
            await set_faults(url, lost_answer_share=1.0)
            lost = await store.compare_and_swap("k", b"mine", 0)
            self.assert_reason(lost, Reason.OUTCOME_UNKNOWN)
            entry = await store.get("k")
            assert isinstance(entry, KeyValueEntry)
            self.assertEqual(entry.value, b"mine")
            await store.aclose()

    async def test_outage_and_refused_connection_have_no_effect(self) -> None:
        # If the service refuses or its port is closed, nothing was written.  The
        # caller may retry without reading first.
        async with open_server(create_app()) as url:
            store = create_http_key_value_store(url)
            await set_faults(url, outage=True)
            refused = await store.compare_and_swap("k", b"1", 0)
            self.assert_reason(refused, Reason.UNAVAILABLE)
            self.assert_reason(await store.get("k"), Reason.UNAVAILABLE)
            await set_faults(url)
            self.assertIsNone(await store.get("k"))
            await store.aclose()
        with socket.create_server(("127.0.0.1", 0)) as probe:
            port = probe.getsockname()[1]
        store = create_http_key_value_store(f"http://127.0.0.1:{port}")
        refused_connection = await store.compare_and_swap("k", b"1", 0)
        self.assert_reason(refused_connection, Reason.UNAVAILABLE)
        await store.aclose()

    async def test_timed_out_write_has_unknown_outcome(self) -> None:
        # Guards against reporting a timed-out write as failed: it takes effect
        # after the caller has stopped waiting.
        async with open_server(create_app()) as url:
            store = create_http_key_value_store(url, timeout_s=0.1)
            await set_faults(url, slow_s=0.3)
            late = await store.compare_and_swap("k", b"late", 0)
            self.assert_reason(late, Reason.OUTCOME_UNKNOWN)
            await set_faults(url)
            entry = await store.watch("k", 0, 5.0)
            assert isinstance(entry, KeyValueEntry)
            self.assertEqual(entry.value, b"late")
            await store.aclose()

    async def test_leases_are_granted_renewed_and_used(self) -> None:
        async with open_server(create_app()) as url:
            store = create_http_key_value_store(url)
            lease = await store.grant_lease(60.0)
            assert isinstance(lease, str)
            held = await store.compare_and_swap("held", b"1", 0, lease)
            self.assertIsInstance(held, int)
            self.assertIsNone(await store.renew_lease(lease))
            ended = "lease-that-ended"
            self.assert_reason(await store.renew_lease(ended), Reason.NOT_FOUND)
            late = await store.compare_and_swap("late", b"2", 0, ended)
            self.assert_reason(late, Reason.NOT_FOUND)
            await store.aclose()

    async def test_watch_returns_the_newer_entry(self) -> None:
        async with open_server(create_app()) as url:
            store = create_http_key_value_store(url)
            first = await store.compare_and_swap("k", b"1", 0)
            assert isinstance(first, int)
            self.assertIsNone(await store.watch("k", first, 0.05))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(store.compare_and_swap, "k", b"2", first)
                entry = await store.watch("k", first, 5.0)
            assert isinstance(entry, KeyValueEntry)
            self.assertEqual(entry.value, b"2")
            await set_faults(url, stale_read_share=1.0)
            stale = await store.get("k")
            assert isinstance(stale, KeyValueEntry)
            self.assertEqual((stale.value, stale.revision), (b"1", first))
            await store.aclose()
