"""Faults that a stand-in is told to show, drawn from a seeded generator."""

import random
from collections.abc import Callable
from typing import TypeVar

import anyio
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

__all__ = ["FaultControl", "Faults", "refuse"]

Share = Field(0.0, ge=0, le=1)
REFUSED_STATUS = 503
INVALID_STATUS = 422

ControlT = TypeVar("ControlT")


class Faults(BaseModel):
    """What goes wrong; a new one replaces the last whole."""

    model_config = ConfigDict(extra="forbid")

    outage: bool = Field(False, description="Refuse every call.")
    slow_s: float = Field(0.0, ge=0, description="Wait before each call.")
    lost_answer_share: float = Share
    """Share of writes whose answer is lost after they took effect."""
    stale_read_share: float = Share
    """Share of reads that answer with the previous revision."""
    corrupt_share: float = Share
    """Share of reads whose body is damaged."""


class Silence:
    """Holds back answers while a stand-in is silent."""

    def __init__(self) -> None:
        self._end = anyio.Event()
        self._end.set()

    def set(self, *, is_silent: bool) -> None:
        """Begin or end the silence."""
        if not is_silent:
            self._end.set()
        elif self._end.is_set():
            self._end = anyio.Event()

    async def wait(self) -> None:
        """Return once the stand-in is not silent."""
        await self._end.wait()


class FaultControl:
    """Holds the faults in force, and draws from them."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.faults = Faults()

    def draw(self, share: float) -> bool:
        """Return true for about this share of calls."""
        return share > 0 and self._rng.random() < share

    def flip_byte(self, data: bytes) -> bytes:
        """Return `data` with one byte changed."""
        if not data:
            return data
        damaged = bytearray(data)
        damaged[self._rng.randrange(len(damaged))] ^= 0xFF
        return bytes(damaged)

    def make_route(self) -> Route:
        """Return the route by which faults are set and read."""
        return Route("/control/faults", self._handle, methods=["GET", "PUT", "POST"])

    async def _handle(self, request: Request) -> Response:
        if request.method != "GET":
            faults = await read_control(request, Faults.model_validate_json)
            if isinstance(faults, Response):
                return faults
            self.faults = faults
        return JSONResponse(self.faults.model_dump())


async def read_control(
    request: Request, validate: Callable[[bytes], ControlT]
) -> ControlT | Response:
    """Return the request's validated body, or the answer that says why not."""
    try:
        return validate(await request.body())
    except ValidationError as error:
        return JSONResponse({"error": str(error)}, status_code=INVALID_STATUS)


def refuse(detail: str = "outage") -> Response:
    """Return the answer of a service that did nothing."""
    return JSONResponse({"error": detail}, status_code=REFUSED_STATUS)
