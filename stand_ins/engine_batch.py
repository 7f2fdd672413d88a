"""Continuous batching: each step produces one token for each running sequence."""

import heapq
import itertools
import math
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from .engine_settings import EngineControl, EngineOptions
from .generation import make_token
from .prefix_cache import PrefixCache

__all__ = ["Batch", "Job", "JobEnd"]

TRACE_JOBS_MAX = 100_000


class JobEnd(Enum):
    """State of a job: running, or how it ended."""

    RUNNING = "running"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    CRASHED = "crashed"


@dataclass(slots=True, eq=False)
class Job:
    """One attempt at a completion, with the data that the trace reports."""

    request_id: str
    prompt: str
    model: str
    max_tokens: int
    priority: int
    sender: MemoryObjectSendStream[str]
    receiver: MemoryObjectReceiveStream[str]
    arrived_at: float = field(default_factory=time.time)
    order: int = 0
    started_at: float = 0.0
    boot_id: str = ""
    was_cold: bool = False
    in_flight_at_start: int = 0
    prefill_steps: int = 0
    produced: int = 0
    digests: list[str] = field(default_factory=list)
    end: JobEnd = JobEnd.RUNNING

    def describe(self) -> dict[str, object]:
        """Return the trace record."""
        return {
            "request_id": self.request_id,
            "prompt": self.prompt,
            "model": self.model,
            "priority": self.priority,
            "order": self.order,
            "arrived_at": self.arrived_at,
            "started_at": self.started_at,
            "boot_id": self.boot_id,
            "was_cold": self.was_cold,
            "in_flight": self.in_flight_at_start,
            "produced": self.produced,
            "digests": self.digests,
            "end": self.end.value,
        }


def create_job(
    request_id: str, prompt: str, model: str, max_tokens: int, priority: int
) -> Job:
    """Create a job with a token stream of its own."""
    sender, receiver = anyio.create_memory_object_stream[str](math.inf)
    return Job(request_id, prompt, model, max_tokens, priority, sender, receiver)


class Batch:
    """The priority queue of jobs and the running sequences."""

    def __init__(
        self,
        options: EngineOptions,
        cache: PrefixCache,
        get_digest: Callable[[str], str],
        on_end: Callable[[Job], None],
        on_start: Callable[[Job], bool],
    ) -> None:
        self._options = options
        self._cache = cache
        self._get_digest = get_digest
        self._on_end = on_end
        self._on_start = on_start
        self._queue: list[tuple[int, int, Job]] = []
        self._running: list[Job] = []
        self._arrival_numbers = itertools.count()
        self._start_numbers = itertools.count(1)
        self._work_available = anyio.Event()
        self.trace: deque[Job] = deque(maxlen=TRACE_JOBS_MAX)
        self.control = EngineControl.model_validate({})

    @property
    def queued(self) -> int:
        """Return the number of queued jobs."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Return the number of queued and running jobs."""
        return len(self._queue) + len(self._running)

    def submit(self, job: Job) -> None:
        """Queue a job; the highest priority is 9."""
        heapq.heappush(self._queue, (-job.priority, next(self._arrival_numbers), job))
        self._work_available.set()

    def end_all(self, end: JobEnd) -> None:
        """End every queued and running job."""
        jobs = [*self._running, *(job for _, _, job in self._queue)]
        self._running.clear()
        self._queue.clear()
        for job in jobs:
            self._finish(job, end)

    def cancel(self, job: Job) -> None:
        """Cancel a job unless it has ended."""
        if job.end is not JobEnd.RUNNING:
            return
        self._running = [other for other in self._running if other is not job]
        self._queue = [item for item in self._queue if item[2] is not job]
        heapq.heapify(self._queue)
        self._finish(job, JobEnd.CANCELLED)

    async def run(self) -> None:
        """Run batch steps until cancelled."""
        while True:
            if self.control.frozen or not self.in_flight:
                self._work_available = anyio.Event()
                with anyio.move_on_after(0.1 if self.control.frozen else None):
                    await self._work_available.wait()
                continue
            self._start_jobs()
            await anyio.sleep(self._compute_step_s())
            if not self.control.frozen:
                self._produce_tokens()

    def _compute_step_s(self) -> float:
        additional_sequences = max(0, len(self._running) - 1)
        step_s = self._options.token_s + self._options.sequence_s * additional_sequences
        return step_s * self.control.slow_factor

    def _start_jobs(self) -> None:
        while self._queue and len(self._running) < self._options.max_batch:
            _, _, job = heapq.heappop(self._queue)
            self._running.append(job)
            job.order = next(self._start_numbers)
            job.started_at = time.time()
            job.in_flight_at_start = self.in_flight
            missing = self._cache.use(job.prompt)
            prefill_s = missing * self._options.prefill_s
            job.prefill_steps = int(prefill_s / max(self._options.token_s, 1e-6))
            self.trace.append(job)
            if not self._on_start(job):
                return

    def _produce_tokens(self) -> None:
        for job in list(self._running):
            if job.prefill_steps > 0:
                job.prefill_steps -= 1
                continue
            digest = self._get_digest(job.model)
            if not job.digests or job.digests[-1] != digest:
                job.digests.append(digest)
            job.sender.send_nowait(make_token(job.prompt, digest, job.produced))
            job.produced += 1
            if job.produced >= job.max_tokens:
                self._running.remove(job)
                self._finish(job, JobEnd.COMPLETED)

    def _finish(self, job: Job, end: JobEnd) -> None:
        job.end = end
        job.sender.close()
        self._on_end(job)
