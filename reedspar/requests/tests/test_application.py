"""Tests of the application over ASGI, with agents whose replies a test scripts."""

import unittest
from collections.abc import Callable
from typing import Any

import anyio
import httpx

from reedspar.attempts import (
    AttemptCancel,
    AttemptEnd,
    AttemptStart,
    CrashNotice,
    CrashSuspect,
    EndKind,
)
from reedspar.errors import Reason
from reedspar.requests import EntryAddress
from reedspar.requests.messages import CrashNews
from reedspar.requests.tests.fakes import (
    DOCUMENT,
    FakeConfiguration,
    FakeEntries,
    FakeNetwork,
    make_answer,
    make_refusal,
    make_report,
    make_service,
)
from reedspar.timers import TimerService, VirtualClock

Script = Callable[[str, AttemptStart], list[Any]]
SHOP = {"x-workspace": "shop"}


class ApplicationTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.network = FakeNetwork()
        self.timers = TimerService(VirtualClock())
        self.configuration = FakeConfiguration()
        self.entries = FakeEntries()
        self.service = make_service(
            self.network,
            self.timers,
            configuration=self.configuration,
            entries=self.entries,
        )
        self.network.deliver("t1", make_report("t1"))
        self.network.deliver("t2", make_report("t2"))

    def answer_with(self, script: Script) -> None:
        def on_send(peer: str, message: Any) -> None:
            if isinstance(message, AttemptStart):
                self.network.deliver(peer, *script(peer, message))

        self.network.on_send = on_send

    def call(self, method: str, path: str, **options: Any) -> httpx.Response:
        async def run() -> httpx.Response:
            transport = httpx.ASGITransport(app=self.service.application)
            async with httpx.AsyncClient(
                transport=transport, base_url="http://entry"
            ) as client:
                return await client.request(method, path, **options)

        return anyio.run(run)

    def starts(self) -> list[AttemptStart]:
        return self.network.sent_of(AttemptStart)


class AnswerTest(ApplicationTestCase):
    def test_complete_answer_is_returned_with_its_headers(self) -> None:
        self.answer_with(lambda peer, start: make_answer(start, b"quote 12", cut=3))
        headers = {**SHOP, "x-request-id": "mine"}
        response = self.call("POST", "/v1/pools/orders/o/1?x=%20y", headers=headers)
        self.assertEqual((response.status_code, response.content), (200, b"quote 12"))
        self.assertEqual(response.headers["x-reedspar-outcome"], "answered")
        self.assertEqual(response.headers["x-request-id"], "mine")
        self.assertEqual(response.headers["x-weights-digest"], "d1")
        self.assertEqual(self.starts()[0].path, "/o/1?x=%20y")

    def test_refusals_have_step_reason_and_retry_after(self) -> None:
        cases = [
            ("/v1/pools/nowhere/x", SHOP, 404, "identify", "not_found"),
            ("/v1/pools/orders/x", {}, 400, "identify", "invalid"),
            ("/v1/pools/quotes/x", SHOP, 503, "route", "no_target"),
            ("/v1/pools/orders/x", {**SHOP, "x-deadline-s": "-1"}, 400, "bound", ""),
        ]
        for path, headers, status, step, reason in cases:
            with self.subTest(path=path, headers=headers):
                response = self.call("GET", path, headers=headers)
                self.assertEqual(response.status_code, status)
                self.assertEqual(response.headers["x-reedspar-outcome"], "not-run")
                self.assertEqual(response.json()["step"], step)
                self.assertIn(reason, response.json()["reason"])
                self.assertEqual("retry-after" in response.headers, status == 503)
        self.assertEqual(self.starts(), [])

    def test_unconfirmed_configuration_starts_no_work(self) -> None:
        # The configuration was not confirmed recently, so a zone may have been
        # taken out.  The entry must refuse work, and tell callers to retry.
        self.configuration.fresh = False
        response = self.call("GET", "/v1/pools/orders/x", headers=SHOP)
        self.assertEqual(response.status_code, 503)
        self.assertEqual(response.json()["reason"], "stale")

    def test_refused_order_is_run_by_another_target(self) -> None:
        def script(peer: str, start: AttemptStart) -> list[Any]:
            if len(self.starts()) == 1:
                return [make_refusal(start, Reason.DRAINING)]
            return make_answer(start, b"ok")

        self.answer_with(script)
        response = self.call("POST", "/v1/pools/orders/o", headers=SHOP)
        self.assertEqual(response.status_code, 200)
        self.assertEqual(len({start.attempt for start in self.starts()}), 2)

    def test_broken_order_is_not_run_again(self) -> None:
        # The target crashes while it runs an order, which may or may not have
        # taken effect.  The order must not run again, and its outcome is unknown.
        self.answer_with(self._break_first)
        response = self.call("POST", "/v1/pools/orders/o", headers=SHOP)
        self.assertEqual(response.status_code, 504)
        self.assertEqual(response.headers["x-reedspar-outcome"], "unknown")
        self.assertEqual(len(self.starts()), 1)

    def test_broken_idempotent_request_is_run_again(self) -> None:
        self.answer_with(self._break_first)
        response = self.call("GET", "/v1/pools/orders/o", headers=SHOP)
        self.assertEqual((response.status_code, response.content), (200, b"ok"))

    def test_refusal_after_a_broken_attempt_is_no_proof(self) -> None:
        # The first target crashes, the second one refuses.  The request may have
        # run at the first, so its outcome must not be "not-run".
        def script(peer: str, start: AttemptStart) -> list[Any]:
            if len(self.starts()) == 1:
                return self._break_first(peer, start)
            return [make_refusal(start, Reason.OVERLOADED)]

        self.answer_with(script)
        response = self.call("GET", "/v1/pools/orders/o", headers=SHOP)
        self.assertEqual(response.headers["x-reedspar-outcome"], "unknown")

    def test_late_answer_of_another_attempt_is_dropped(self) -> None:
        # The answer of an abandoned first attempt arrives during the second
        # attempt.  The two must not be mixed in the answer to the caller.
        def script(peer: str, start: AttemptStart) -> list[Any]:
            if len(self.starts()) == 1:
                return self._break_first(peer, start)
            late = make_answer(self.starts()[0], b"late")
            return [*late, *make_answer(start, b"right")]

        self.answer_with(script)
        response = self.call("GET", "/v1/pools/orders/o", headers=SHOP)
        self.assertEqual(response.content, b"right")
        self.assertEqual(self.service.client.counts.dropped, 3)

    def _break_first(self, peer: str, start: AttemptStart) -> list[Any]:
        if len(self.starts()) > 1:
            return make_answer(start, b"ok")
        head, data, _ = make_answer(start, b"half of it")
        key = (start.request_id, start.attempt)
        broken = AttemptEnd(*key, EndKind.BROKEN, 0, "", Reason.UNAVAILABLE, "died")
        return [head, data, broken]


class QuarantineTest(ApplicationTestCase):
    def test_request_that_crashed_two_targets_is_refused(self) -> None:
        # A caller repeats a request that crashes its target.  After two crashes,
        # it must not reach a target again.
        def crash(peer: str, start: AttemptStart) -> list[Any]:
            boot_id = f"boot-{len(self.starts())}"
            notice = CrashNotice(
                peer, "orders", "a", boot_id, (CrashSuspect(start.fingerprint),)
            )
            key = (start.request_id, start.attempt)
            end = AttemptEnd(*key, EndKind.BROKEN, 0, "", Reason.UNAVAILABLE, "")
            return [notice, end]

        self.network.linked_peers = ("entry-1", "entry-2")
        self.answer_with(crash)
        for status in (504, 504, 503):
            response = self.call("POST", "/v1/pools/orders/deadly", headers=SHOP)
            self.assertEqual(response.status_code, status)
        self.assertEqual(response.json()["reason"], "quarantined")
        self.assertEqual(response.headers["retry-after"], "300")
        self.assertEqual(len(self.starts()), 2)
        notified = [peer for peer, item in self.network.sent if type(item) is CrashNews]
        self.assertEqual(notified, ["entry-2", "entry-2"])
        self.answer_with(lambda peer, start: make_answer(start, b"ok"))
        other = self.call("POST", "/v1/pools/orders/harmless", headers=SHOP)
        self.assertEqual(other.status_code, 200)

    def test_requests_with_a_part_that_crashes_targets_are_refused(self) -> None:
        # Guards against requests of which no two are alike, but with one part in all
        # their prompts, which end target after target on the path through agents.
        def answer(peer: str, start: AttemptStart) -> list[Any]:
            if "bad" not in start.prompt_parts:
                return make_answer(start, b"ok")
            self.timers.clock.advance(0.2)  # type: ignore[attr-defined]
            boot_id = f"boot-{len(self.starts())}"
            suspect = CrashSuspect(start.fingerprint, start.prompt_parts)
            notice = CrashNotice(peer, "orders", "a", boot_id, (suspect,))
            key = (start.request_id, start.attempt)
            end = AttemptEnd(*key, EndKind.BROKEN, 0, "", Reason.UNAVAILABLE, "")
            return [notice, end]

        def call(path: str, parts: str) -> httpx.Response:
            headers = {**SHOP, "x-prompt-parts": parts}
            return self.call("POST", f"/v1/pools/orders/{path}", headers=headers)

        self.answer_with(answer)
        for number in range(12):
            call(f"s{number}", f"first, s{number}")
            last = call(f"b{number}", "first, bad")
        self.assertEqual(last.json()["reason"], "quarantined")
        crashes = [start for start in self.starts() if "bad" in start.prompt_parts]
        self.assertLessEqual(len(crashes), 8)
        self.assertEqual(call("sound", "first, other").status_code, 200)


class StreamTest(ApplicationTestCase):
    def run_stream(
        self,
        script: Script,
        disconnect: bool = False,
        on_piece: Callable[[dict], None] = lambda message: None,
        version: str = "1.1",
    ) -> list[dict]:
        self.answer_with(script)
        sent: list[dict] = []
        incoming = [{"type": "http.request", "body": b"", "more_body": False}]
        if disconnect:
            incoming.append({"type": "http.disconnect"})

        async def receive() -> dict:
            if not incoming:
                await anyio.sleep_forever()
            return incoming.pop(0)

        async def send(message: dict) -> None:
            sent.append(message)
            on_piece(message)

        scope = {
            "type": "http",
            "http_version": version,
            "method": "GET",
            "path": "/v1/pools/orders/s",
            "raw_path": b"/v1/pools/orders/s",
            "query_string": b"",
            "headers": [(b"x-workspace", b"shop")],
        }
        anyio.run(self.service.application, scope, receive, send)
        return sent

    def test_messages_of_one_loop_iteration_are_sent_together(self) -> None:
        stream = "text/event-stream"
        sent = self.run_stream(
            lambda peer, start: make_answer(start, b"data: \n\n", stream, cut=8)
        )
        bodies = [message["body"] for message in sent[1:]]
        self.assertEqual(b"".join(bodies), b"data: \n\n")
        self.assertLessEqual(len(bodies), 2)
        self.assertFalse(sent[-1]["more_body"])

    def test_broken_stream_is_never_finished(self) -> None:
        # The target crashes during a stream.  If the entry ended the response
        # normally, the caller would take the partial answer for a complete one.
        def break_off(message: dict) -> None:
            if message["type"] == "http.response.body":
                start = self.starts()[0]
                key = (start.request_id, start.attempt)
                cause = (Reason.UNAVAILABLE, "died")
                end = AttemptEnd(*key, EndKind.BROKEN, 0, "", *cause)
                self.network.deliver(self.network.sent[0][0], end)

        sent = self.run_stream(
            lambda peer, start: make_answer(start, b"abcd", "text/event-stream")[:-1],
            on_piece=break_off,
        )
        self.assertEqual(sent[1]["body"], b"abcd")
        self.assertTrue(all(message.get("more_body", True) for message in sent))
        self.assertEqual(len(self.starts()), 1)

    def test_http_versions_that_hide_truncation_are_refused(self) -> None:
        # When a stream breaks under HTTP/1.0, its end looks normal, and under
        # HTTP/2 the server leaves the stream open.  The caller would take the
        # partial answer for a complete one, or wait until its own timeout.
        for version in ("1.0", "2"):
            sent = self.run_stream(
                lambda peer, start: make_answer(start, b"a"), version=version
            )
            self.assertEqual(sent[0]["status"], 505)
        self.assertEqual(self.starts(), [])

    def test_disconnect_of_the_caller_cancels_its_attempt(self) -> None:
        self.run_stream(lambda peer, start: [], disconnect=True)
        self.assertEqual(len(self.network.sent_of(AttemptCancel)), 1)
        self.assertEqual(self.service.client.open_count, 0)


class DisconnectTest(ApplicationTestCase):
    def test_generated_text_is_ended_and_orders_are_not(self) -> None:
        # Guards against work that goes on for a caller that left and that no repeat can
        # get, and against orders that are broken off.
        document = DOCUMENT.model_dump(mode="json")
        document["pools"]["orders"]["kind"] = "model"
        model = type(DOCUMENT).model_validate(document)
        for kind, key, is_cancelled in (
            (model, "", True),
            (model, "2026-12-04:k1", False),
            (DOCUMENT, "", False),
        ):
            with self.subTest(kind=kind.pools["orders"].kind, key=key):
                self.setUp()
                self.configuration.document = kind
                self.assertEqual(self.leave(key), is_cancelled)

    def leave(self, key: str) -> bool:
        """Return whether an attempt is cancelled when its caller leaves."""
        left = anyio.Event()
        is_read = False

        async def receive() -> dict:
            nonlocal is_read
            if not is_read:
                is_read = True
                return {"type": "http.request", "body": b"x", "more_body": False}
            await left.wait()
            return {"type": "http.disconnect"}

        async def send(message: dict) -> None:
            pass

        headers = [(b"x-workspace", b"shop")]
        if key:
            headers.append((b"idempotency-key", key.encode()))
        path = "/v1/pools/orders/s"
        scope = {"type": "http", "http_version": "1.1", "method": "POST", "path": path}
        scope |= {"raw_path": path.encode(), "query_string": b"", "headers": headers}

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.service.run)
                tasks.start_soon(self.service.application, scope, receive, send)
                with anyio.fail_after(5):
                    while not self.starts():
                        await anyio.sleep(0.01)
                left.set()
                await anyio.sleep(0.1)
                self.cancelled = bool(self.network.sent_of(AttemptCancel))
                tasks.cancel_scope.cancel()

        anyio.run(run)
        (start,) = self.starts()
        self.assertEqual(start.is_cancellable, self.cancelled)
        return self.cancelled


class AddressesTest(ApplicationTestCase):
    def test_own_zone_is_first_and_leaving_or_out_entries_are_omitted(self) -> None:
        self.entries.addresses = [
            EntryAddress("e1", "a", "10.0.0.1", 80),
            EntryAddress("e2", "b", "10.0.0.2", 80),
            EntryAddress("e3", "a", "10.0.0.3", 80, is_leaving=True),
            EntryAddress("e4", "c", "10.0.0.4", 80),
        ]
        zones = {**DOCUMENT.zones, "c": "out"}
        document = DOCUMENT.model_dump() | {"zones": zones}
        self.configuration.document = type(DOCUMENT).model_validate(document)
        response = self.call("GET", "/v1/addresses")
        self.assertEqual(
            response.json(),
            {"addresses": ["http://10.0.0.1:80", "http://10.0.0.2:80"], "ttl_s": 5.0},
        )


if __name__ == "__main__":
    unittest.main()
