"""The engine itself: boots, crashes, cold start, and the jobs it was given."""

import time
import uuid
from collections import Counter

from reedspar.platform import EngineState

from .engine_batch import Batch, Job, JobEnd
from .engine_settings import EngineOptions
from .engine_weights import EngineWeights
from .lagged import LaggedValue
from .prefix_cache import PrefixCache

__all__ = ["EngineModel"]

WARNING_S = 1.0
"""Beyond two lags of the load report, in which an agent can learn of a cold start."""


class EngineModel:
    """One engine; a crash resets all but its counters and its trace."""

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
            options, self.cache, self.get_digest, self._end_job, self._start_job
        )
        self.counts: Counter[str] = Counter()
        self.boot_id = ""
        self._jobs: dict[str, set[Job]] = {}
        self._load = LaggedValue((True, 0, 0), options.load_lag_s)
        self._down_until_s = 0.0
        self._cold_since_s = 0.0
        self._surprise_s = 0.0
        self._warming_left = 0
        self._boot()

    @property
    def is_down(self) -> bool:
        """Tell whether it still restarts after a crash."""
        return time.monotonic() < self._down_until_s

    @property
    def is_cold(self) -> bool:
        """Tell whether it bears only little load now."""
        age_s = time.monotonic() - self._cold_since_s
        return self._warming_left > 0 and age_s < self._options.cold_s

    def get_digest(self, model: str) -> str:
        """Return the root digest of what is loaded, or an empty string."""
        return self.weights.loaded.get(model, "")

    def submit(self, job: Job) -> None:
        """Queue a job; too many in cold start crash the engine."""
        self._jobs.setdefault(job.request_id, set()).add(job)
        self.batch.submit(job)
        self._report_load()
        if not self.is_cold:
            return
        in_flight = self.batch.in_flight
        if in_flight > self._options.cold_limit:
            age_s = time.monotonic() - self._surprise_s
            is_warned = age_s > 2 * self._options.load_lag_s + WARNING_S
            self.counts["cold_excess" if is_warned else "cold_excess_unwarned"] += 1
        if in_flight > self._options.crash_limit:
            self.counts["overload_crashes"] += 1
            self.crash()

    def cancel(self, request_id: str) -> bool:
        """Stop working on a request; false if it does not run."""
        jobs = list(self._jobs.get(request_id, set()))
        for job in jobs:
            self.batch.cancel(job)
        return bool(jobs)

    def crash(self) -> None:
        """Lose everything and start again."""
        self.counts["crashes"] += 1
        self._down_until_s = time.monotonic() + self._options.restart_s
        self._surprise_s = self._down_until_s
        self.weights.reset()
        self.cache.clear()
        self._boot()
        self.batch.end_all(JobEnd.CRASHED)

    def turn_cold(self) -> None:
        """Fall back into cold start without a restart."""
        self._surprise_s = time.monotonic()
        self._become_cold()

    def read_state(self) -> EngineState:
        """Return the report, whose load lags."""
        self._report_load()
        is_cold, in_flight, queued = self._load.get()
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
        self._become_cold()

    def _become_cold(self) -> None:
        self._cold_since_s = time.monotonic()
        self._warming_left = self._options.cold_completions
        self._report_load()

    def _report_load(self) -> None:
        load = (self.is_cold, self.batch.in_flight, self.batch.queued)
        self._load.set(load)

    def _start_job(self, job: Job) -> bool:
        """Note the start; return false if it crashed the engine."""
        job.boot_id = self.boot_id
        job.was_cold = self.is_cold
        marker = self._options.deadly_marker
        if marker and marker in job.prompt:
            self.counts["deadly_runs"] += 1
            self.crash()
            return False
        return True

    def _end_job(self, job: Job) -> None:
        jobs = self._jobs.get(job.request_id, set())
        jobs.discard(job)
        if not jobs:
            self._jobs.pop(job.request_id, None)
        if job.end is JobEnd.COMPLETED:
            self.counts["completions"] += 1
            self._warming_left = max(0, self._warming_left - 1)
            self.counts["mixed_answers"] += len(job.digests) > 1
        self._report_load()
