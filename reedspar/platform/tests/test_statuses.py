"""Tests that no adapter takes an answer without a valid status for an answer."""

import unittest

import anyio
from anyio.abc import SocketAttribute, SocketStream

from reedspar.errors import Failure
from reedspar.platform import (
    TargetRequest,
    create_http_model_engine,
    create_http_plain_service,
)

HOST = "127.0.0.1"
INVALID_STATUSES = (b"000", b"042", b"101", b"199", b"600", b"700", b"999")
VALID_STATUSES = (b"200", b"404", b"503", b"599")
STATE = b'{"boot_id": "b", "in_flight": 0, "queued": 0}'


class StatusTest(unittest.TestCase):
    async def answer(self, stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            head = b"HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n"
            await stream.send(head % (self.status, len(STATE)) + STATE)

    def call(self, method: str) -> object:
        """Return what an adapter makes of an answer."""

        async def run() -> object:
            listener = await anyio.create_tcp_listener(local_host=HOST)
            url = f"http://{HOST}:{listener.extra(SocketAttribute.local_port)}"
            request = TargetRequest("r", method, "/a", (), b"", 2.0)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, self.answer)
                if method == "state":
                    result: object = await create_http_model_engine(url).read_state()
                else:
                    service = create_http_plain_service(url)
                    async with service.send(request) as response:
                        is_failure = isinstance(response, Failure)
                        result = response if is_failure else response.status  # type: ignore[union-attr]
                tasks.cancel_scope.cancel()
            await listener.aclose()
            return result

        return anyio.run(run)

    def test_status_that_no_final_answer_has_is_a_failure(self) -> None:
        # Guards against bytes of a target in trouble that reach a caller, or the
        # daemon's own decisions, as an answer.
        for self.status in INVALID_STATUSES:
            for method in ("GET", "POST", "HEAD", "state"):
                with self.subTest(status=self.status, method=method):
                    self.assertIsInstance(self.call(method), Failure)

    def test_valid_statuses_are_passed_on(self) -> None:
        # Guards against sound answers that are refused with the others.
        for self.status in VALID_STATUSES:
            with self.subTest(status=self.status):
                self.assertEqual(self.call("GET"), int(self.status))


if __name__ == "__main__":
    unittest.main()
