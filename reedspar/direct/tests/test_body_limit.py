"""Tests of the limit on bodies that a site's configuration sets, over ASGI."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from typing import Any

import anyio

from reedspar.direct import DirectService
from reedspar.direct.tests.cases import Call, DirectTestCase, make_order_target
from reedspar.direct.tests.fakes import FakeDialer, make_table
from reedspar.fleet import FleetView, RoutesChange
from reedspar.routes import CallerLimits

KIB = 1024
MIB = 1024 * KIB
PIECE_BYTES = 256 * KIB
SIZES_FROM_LIMIT_BYTES = (-1, 0, 1, 3 * MIB)


class UploadCall(Call):
    """A call whose body arrives in pieces, with a length or in chunks."""

    def __init__(self, path: str, body: bytes, *, has_length: bool) -> None:
        length = {"content-length": str(len(body))} if has_length else {}
        super().__init__(path, **length)
        self._pieces = self._cut(body)
        self.before_piece: Callable[[int], Awaitable[None]] | None = None
        self.taken = 0

    async def _cut(self, body: bytes) -> AsyncIterator[dict[str, Any]]:
        for offset in range(0, len(body) or 1, PIECE_BYTES):
            piece = body[offset : offset + PIECE_BYTES]
            yield {
                "type": "http.request",
                "body": piece,
                "more_body": offset + PIECE_BYTES < len(body),
            }

    async def receive(self) -> dict:
        if self.before_piece is not None:
            await self.before_piece(self.taken)
        self.taken += 1
        message = await anext(self._pieces, None)
        if message is not None:
            return message
        await self.disconnected.wait()
        return {"type": "http.disconnect"}


def set_limit(view: FleetView, version: int, size_bytes: int) -> None:
    limits = replace(CallerLimits(), body_bytes=size_bytes)
    view.apply(RoutesChange(make_table(version, limits=limits)))


class BodyLimitTest(DirectTestCase):
    targets = [make_order_target("o1")]

    def test_bodies_run_whole_up_to_the_limit_in_force_and_never_above_it(self) -> None:
        # Guards against orders that run cut, or run at all, above a changed limit.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            for version, limit_bytes in enumerate((8 * MIB, MIB, 4 * MIB), 2):
                set_limit(view, version, limit_bytes)
                for by_bytes in SIZES_FROM_LIMIT_BYTES:
                    for has_length in (True, False):
                        with self.subTest(
                            limit=limit_bytes, by=by_bytes, has_length=has_length
                        ):
                            body = bytes(limit_bytes + by_bytes)
                            dialer.sent.clear()
                            call = UploadCall("/o/1", body, has_length=has_length)
                            await service.application(
                                call.scope, call.receive, call.send
                            )
                            are_whole = [sent.body == body for _, sent in dialer.sent]
                            is_allowed = by_bytes <= 0
                            self.assertEqual(call.status, 200 if is_allowed else 413)
                            self.assertEqual(are_whole, [True] if is_allowed else [])

        self.run_with(script)

    def test_limit_that_changes_during_an_upload_cuts_nothing(self) -> None:
        # Guards against bodies of which a part was judged by another limit.
        for limits_bytes, size_bytes, status in [
            ((4 * MIB, 8 * MIB), 6 * MIB, 200),
            ((8 * MIB, 4 * MIB), 6 * MIB, 413),
            ((4 * MIB, MIB), 3 * MIB, 413),
            ((MIB, 4 * MIB), MIB, 200),
        ]:

            async def script(
                service: DirectService,
                dialer: FakeDialer,
                view: FleetView,
                limits_bytes: tuple[int, int] = limits_bytes,
                size_bytes: int = size_bytes,
                status: int = status,
            ) -> None:
                first_bytes, second_bytes = limits_bytes
                set_limit(view, 2, first_bytes)
                call = UploadCall("/o/1", bytes(size_bytes), has_length=False)

                async def change(taken: int) -> None:
                    if taken == 3:
                        set_limit(view, 3, second_bytes)

                call.before_piece = change
                await service.application(call.scope, call.receive, call.send)
                self.assertEqual(call.status, status)
                ran = [len(request.body) for _, request in dialer.sent]
                self.assertEqual(ran, [size_bytes] if status == 200 else [])

            with self.subTest(limits=limits_bytes, size=size_bytes):
                self.run_with(script)

    def test_declared_size_above_the_limit_is_refused_before_it_arrives(self) -> None:
        # Guards against callers that upload for seconds what can't be served.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            call = UploadCall("/o/1", bytes(5 * MIB), has_length=True)
            was_refused: list[bool] = []

            async def look(taken: int) -> None:
                await anyio.sleep(0)
                was_refused.append(call.body != b"")

            call.before_piece = look
            await service.application(call.scope, call.receive, call.send)
            self.assertTrue(was_refused[0])
            self.assertTrue(call.is_whole)
            self.assertEqual(call.taken, 5 * MIB // PIECE_BYTES)

        self.run_with(script)

    def test_limit_that_is_not_known_refuses_nothing_for_good(self) -> None:
        # Guards against a permanent refusal before the first configuration is known.
        async def script(
            service: DirectService, dialer: FakeDialer, view: FleetView
        ) -> None:
            view.routes = None
            call = UploadCall("/o/1", bytes(5 * MIB), has_length=True)
            await service.application(call.scope, call.receive, call.send)
            self.assertEqual(call.status, 503)
            self.assertIn("retry-after", call.headers)

        self.run_with(script)
