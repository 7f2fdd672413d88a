"""Fault injection for the stand-ins, from a seeded random generator."""

import random
from collections.abc import Callable
from typing import TypeVar

import anyio
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

__all__ = ["FaultControl", "Faults", "refuse"]

SHARE_FIELD = Field(0.0, ge=0, le=1)
REFUSED_STATUS = 503
INVALID_STATUS = 422

ControlT = TypeVar("ControlT")


class Faults(BaseModel):
    """Faults to inject; each update replaces all of them."""

    model_config = ConfigDict(extra="forbid")

    outage: bool = Field(False, description="Refuse every call.")
    slow_s: float = Field(0.0, ge=0, description="Wait before each call.")
    lost_answer_share: float = SHARE_FIELD
    """Share of writes that take effect but whose answer is lost."""
    stale_read_share: float = SHARE_FIELD
    """Share of reads that return the previous revision."""
    corrupt_share: float = SHARE_FIELD
    """Share of reads whose body is corrupted."""


class ResponseGate:
    """Blocks answers while a stand-in is silent."""

    def __init__(self) -> None:
        self._opened = anyio.Event()
        self._opened.set()

    def set(self, *, is_blocked: bool) -> None:
        """Block answers, or release those that wait."""
        if not is_blocked:
            self._opened.set()
        elif self._opened.is_set():
            self._opened = anyio.Event()

    async def wait(self) -> None:
        """Wait until answers are not blocked."""
        await self._opened.wait()


class FaultControl:
    """Holds the current faults and decides at random which calls they affect."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.faults = Faults()

    def should_inject(self, share: float) -> bool:
        """Return True with probability `share`."""
        return share > 0 and self._rng.random() < share

    def flip_byte(self, data: bytes) -> bytes:
        """Return `data` with one random byte inverted."""
        if not data:
            return data
        corrupted = bytearray(data)
        corrupted[self._rng.randrange(len(corrupted))] ^= 0xFF
        return bytes(corrupted)

    def make_route(self) -> Route:
        """Return the route that sets and reads the faults."""
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
    """Return the validated body, or an error response if it is invalid."""
    try:
        return validate(await request.body())
    except ValidationError as error:
        return JSONResponse({"error": str(error)}, status_code=INVALID_STATUS)


def refuse(detail: str = "outage") -> Response:
    """Return a 503 response for a call that had no effect."""
    return JSONResponse({"error": detail}, status_code=REFUSED_STATUS)
