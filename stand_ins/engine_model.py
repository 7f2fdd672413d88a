"""State of the simulated engine: boots, crashes, cold start and jobs."""

import time
import uuid
from collections import Counter

from reedspar.platform import EngineState

from .engine_batch import Batch, Job, JobEnd
from .engine_settings import EngineOptions
from .engine_weights import EngineWeights
from .lagged_value import LaggedValue
from .prefix_cache import PrefixCache

__all__ = ["EngineModel"]

REPORT_MARGIN_S = 1.0
"""Added to twice the report lag as the time an agent needs to learn of a cold start."""


class EngineModel:
    """One engine; a crash resets everything but its counters and trace."""

    def __init__(self, options: EngineOptions) -> None:
        self._options = options
        self.weights = EngineWeights(not options.ignore_fencing, options.load_s)
        self.cache = PrefixCache(
            options.cache_blocks,
            options.event_lag_s,
            options.event_gap_share,
            options.seed,
        )
        self.batch = Batch(
            options,
            self.cache,
            self.get_digest,
            self._handle_job_end,
            self._handle_job_start,
        )
        self.counts: Counter[str] = Counter()
        self.boot_id = ""
        self._jobs: dict[str, set[Job]] = {}
        self._reported_load = LaggedValue((True, 0, 0), options.load_lag_s)
        self._down_until_s = 0.0
        self._cold_since_s = 0.0
        self._unexpected_cold_start_s = 0.0
        self._warmup_completions_left = 0
        self._boot()

    @property
    def is_down(self) -> bool:
        """Return whether the engine is restarting after a crash."""
        return time.monotonic() < self._down_until_s

    @property
    def is_cold(self) -> bool:
        """Return whether the engine is in cold start and handles only little load."""
        age_s = time.monotonic() - self._cold_since_s
        return self._warmup_completions_left > 0 and age_s < self._options.cold_s

    def get_digest(self, model: str) -> str:
        """Return the root digest of the model's loaded weights, or an empty string."""
        return self.weights.loaded.get(model, "")

    def submit(self, job: Job) -> None:
        """Queue a job; too many during cold start crash the engine."""
        self._jobs.setdefault(job.request_id, set()).add(job)
        self.batch.submit(job)
        self._report_load()
        if not self.is_cold:
            return
        in_flight = self.batch.in_flight
        if in_flight > self._options.cold_limit:
            age_s = time.monotonic() - self._unexpected_cold_start_s
            is_reported = age_s > 2 * self._options.load_lag_s + REPORT_MARGIN_S
            self.counts["cold_excess" if is_reported else "cold_excess_unwarned"] += 1
        if in_flight > self._options.crash_limit:
            self.counts["overload_crashes"] += 1
            self.crash()

    def cancel(self, request_id: str) -> bool:
        """Cancel the jobs of a request; return False if it has none."""
        jobs = list(self._jobs.get(request_id, set()))
        for job in jobs:
            self.batch.cancel(job)
        return bool(jobs)

    def crash(self) -> None:
        """Discard weights, cache and jobs, and restart."""
        self.counts["crashes"] += 1
        self._down_until_s = time.monotonic() + self._options.restart_s
        self._unexpected_cold_start_s = self._down_until_s
        self.weights.reset()
        self.cache.clear()
        self._boot()
        self.batch.end_all(JobEnd.CRASHED)

    def force_cold_start(self) -> None:
        """Return to cold start without a restart."""
        self._unexpected_cold_start_s = time.monotonic()
        self._enter_cold_start()

    def read_state(self) -> EngineState:
        """Return the state report; its load figures lag."""
        self._report_load()
        is_cold, in_flight, queued = self._reported_load.get()
        return EngineState(
            self.boot_id,
            is_cold=is_cold,
            in_flight=in_flight,
            queued=queued,
            loaded=dict(self.weights.loaded),
            fencing_number=self.weights.fencing_number,
        )

    def _boot(self) -> None:
        self.boot_id = uuid.uuid4().hex
        self.counts["boots"] += 1
        self._enter_cold_start()

    def _enter_cold_start(self) -> None:
        self._cold_since_s = time.monotonic()
        self._warmup_completions_left = self._options.cold_completions
        self._report_load()

    def _report_load(self) -> None:
        load = (self.is_cold, self.batch.in_flight, self.batch.queued)
        self._reported_load.set(load)

    def _handle_job_start(self, job: Job) -> bool:
        """Record the start of a job; return False if the job crashed the engine."""
        job.boot_id = self.boot_id
        job.was_cold = self.is_cold
        marker = self._options.deadly_marker
        if marker and marker in job.prompt:
            self.counts["deadly_runs"] += 1
            self.crash()
            return False
        return True

    def _handle_job_end(self, job: Job) -> None:
        jobs = self._jobs.get(job.request_id, set())
        jobs.discard(job)
        if not jobs:
            self._jobs.pop(job.request_id, None)
        if job.end is JobEnd.COMPLETED:
            self.counts["completions"] += 1
            self._warmup_completions_left = max(0, self._warmup_completions_left - 1)
            self.counts["mixed_answers"] += len(job.digests) > 1
        self._report_load()
