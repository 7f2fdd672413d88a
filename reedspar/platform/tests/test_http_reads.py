"""Tests of the adapters for the origin and for the instance list."""

import unittest
from dataclasses import asdict, replace

import httpx

from reedspar.errors import Failure, Reason
from reedspar.platform import (
    InstanceRecord,
    InstanceState,
    TargetRequest,
    create_http_instance_list,
    create_http_plain_service,
    create_http_weight_source,
)
from stand_ins import instance_list, origin
from stand_ins.serving import open_server

from .raw_answers import RawServer

RECORD = InstanceRecord("a", "entry", "z", "r", "127.0.0.1", 1, 2)


class WeightSourceTest(unittest.IsolatedAsyncioTestCase):
    async def test_reads_ranges(self) -> None:
        async with open_server(origin.create_app()) as url:
            source = create_http_weight_source(url)
            self.assertFalse(await source.has("m/1"))
            self.assertIsNone(await source.put("m/1", b"0123456789"))
            self.assertTrue(await source.has("m/1"))
            self.assertEqual(await source.read("m/1", 0, 0), b"0123456789")
            self.assertEqual(await source.read("m/1", 2, 3), b"234")
            self.assertEqual(await source.read("m/1", 8, 9), b"89")
            missing = await source.read("m/2", 0, 0)
            assert isinstance(missing, Failure)
            self.assertIs(missing.reason, Reason.NOT_FOUND)
            await source.aclose()

    async def test_truncated_bodies_are_corrupt(self) -> None:
        # Guards against loading a truncated chunk.  The body is shorter than the
        # requested range, with a content length that is right for the range or
        # for the truncated body.
        broken = b"HTTP/1.1 206 P\r\ncontent-range: bytes 0-9/10\r\n"
        for length in (10, 4):
            head = broken + f"content-length: {length}\r\n\r\n".encode()
            server = RawServer([head + b"0123"])
            async with server.listen():
                source = create_http_weight_source(server.url)
                result = await source.read("m", 0, 10)
                assert isinstance(result, Failure)
                self.assertIs(result.reason, Reason.CORRUPT)
                await source.aclose()

    async def test_bytes_are_counted_by_object(self) -> None:
        async with open_server(origin.create_app(bytes_per_s=1e9)) as url:
            source = create_http_weight_source(url)
            await source.put("m", bytes(200_000))
            for _ in range(2):
                await source.read("m", 0, 100_000)
            async with httpx.AsyncClient(trust_env=False) as client:
                counts = (await client.get(f"{url}/control/counts")).json()
            self.assertEqual(counts["bytes_by_object"], {"m": 200_000})
            await source.aclose()


class UnframedBodyTest(unittest.IsolatedAsyncioTestCase):
    async def test_body_without_length_or_chunked_framing_is_incomplete(self) -> None:
        # Guards against forwarding a truncated confirmation: a service that ends
        # its response by closing the connection looks like a broken connection.
        server = RawServer([b"HTTP/1.1 200 OK\r\n\r\nhalf a confir"])
        async with server.listen():
            service = create_http_plain_service(server.url)
            request = TargetRequest("r", "POST", "/d", (), b"", 5.0)
            async with service.send(request) as response:
                assert not isinstance(response, Failure)
                pieces = [piece async for piece in response.iterate()]
            assert isinstance(pieces[-1], Failure)
            self.assertIs(pieces[-1].reason, Reason.OUTCOME_UNKNOWN)
            await service.aclose()


class InstanceListTest(unittest.IsolatedAsyncioTestCase):
    async def test_list_shows_changes_after_its_delay(self) -> None:
        async with (
            open_server(instance_list.create_app(lag_s=3600.0)) as url,
            httpx.AsyncClient(trust_env=False, base_url=url) as client,
        ):
            instances = create_http_instance_list(url)
            leaving = replace(RECORD, state=InstanceState.LEAVING)
            body = {**asdict(leaving), "state": "leaving"}
            answer = await client.put("/control/instances/a", json=body)
            self.assertEqual(answer.status_code, 204)
            self.assertEqual(await instances.fetch(), ())
            await client.put("/control/lag/0.0")
            self.assertEqual(await instances.fetch(), (leaving,))
            await client.delete("/control/instances/a")
            self.assertEqual(await instances.fetch(), ())
            await instances.aclose()
