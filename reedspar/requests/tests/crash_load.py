"""A load of sound and crashing requests on entries and targets, in virtual time."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from reedspar.attempts import CrashSuspect
from reedspar.requests.quarantine import Standing
from reedspar.requests.tests.test_crash_gossip import Entry, Fleet

__all__ = ["CONTACT_S", "DENSE", "PART_CRASHES", "REQUEST_CRASHES", "Kind", "Load"]

CONTACT_S = 3.0
REQUEST_CRASHES = 3
PART_CRASHES = 5
"""Numbers of crashes that prove a request, and a part."""
TICK_S = 0.05
ATTEMPTS_MAX = 2
SUSPECT_AFTER_BEGIN_S = 0.5


@dataclass(frozen=True)
class Sound:
    """Sound streams, and how long they take to begin and to end."""

    per_s: float = 30.0
    begin_max_s: float = 1.0
    end_min_s: float = 1.0
    end_max_s: float = 3.0


DENSE = Sound(per_s=60.0, begin_max_s=0.3, end_min_s=0.6, end_max_s=1.2)
"""Many short streams, so that a crash breaks off several that have just begun."""


@dataclass
class Kind:
    """Requests that crash targets: one that comes again, or all with one part."""

    name: str
    is_part: bool = False
    per_s: float = 5.0
    starts_s: float = 6.0
    ends_s: float = 26.0
    parts: tuple[str, ...] = ()
    crashes_s: list[float] = field(default_factory=list)
    runs_s: list[float] = field(default_factory=list)
    """Times at which arrivals were handed to targets."""

    @property
    def bound_s(self) -> float:
        """Return the time from which entries must refuse such requests."""
        needed = PART_CRASHES if self.is_part else REQUEST_CRASHES
        crashes_s = sorted(self.crashes_s)
        proven_s = crashes_s[needed - 1] if len(crashes_s) >= needed else self.ends_s
        return proven_s + CONTACT_S


@dataclass
class Stream:
    suspect: CrashSuspect
    entry: str
    arrived_s: float
    kind: Kind | None = None
    begun_s: float = 0.0
    tried: set[int] = field(default_factory=set)
    target: int | None = None
    is_refused: bool = False
    is_first_begun: bool = False


class Load(Fleet):
    """Entries that hand streams to targets, some of which crash them."""

    def __init__(
        self,
        seed: int,
        kinds: list[Kind],
        entries: int = 9,
        targets: int = 16,
        sound: Sound = Sound(),
        alike_share: float = 0.0,
        ends_s: float = 32.0,
    ) -> None:
        super().__init__(seed, 0)
        self.rng = random.Random(seed)
        self.kinds = kinds
        self.now_s = 0.0
        self.streams: list[Stream] = []
        self.wrongly_blamed_s: dict[tuple[str, str], float] = {}
        """Longest time that an entry has refused something sound."""
        self._since_s: dict[tuple[str, str], float] = {}
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._numbers = itertools.count()
        self._boots = [0] * targets
        self._up = set(range(targets))
        self._sound = sound
        self._alike_share = alike_share
        self._ends_s = ends_s
        for number in range(entries):
            name = f"e{number}"
            self.entries[name] = Entry(self, name, seed * 1000 + number)
        self._arrive_each(sound.per_s, 0.0, ends_s, None)
        for kind in kinds:
            self._arrive_each(kind.per_s, kind.starts_s, kind.ends_s, kind)

    def deliver(self, sender: str, peer: str, message: Any) -> None:
        later = super().deliver
        self._call_in(self.rng.uniform(0.002, 0.02), later, sender, peer, message)

    def run(self) -> None:
        for tick in range(round(self._ends_s / TICK_S)):
            self._call_at(tick * TICK_S, self._tick)
        while self._events and self._events[0][0] < self._ends_s:
            at_s, _, function, arguments = heapq.heappop(self._events)
            for entry in self.entries.values():
                entry.clock.advance(at_s - self.now_s)
            self.now_s = at_s
            function(*arguments)

    def served_share(self, from_s: float, until_s: float) -> float:
        """Return the share of sound requests begun at the first attempt."""
        sound = [s for s in self.streams if s.kind is None]
        sound = [s for s in sound if from_s <= s.arrived_s < until_s]
        return sum(s.is_first_begun for s in sound) / max(1, len(sound))

    def _call_in(self, delay_s: float, function: Callable, *arguments: Any) -> None:
        self._call_at(self.now_s + delay_s, function, *arguments)

    def _call_at(self, at_s: float, function: Callable, *arguments: Any) -> None:
        event = (at_s, next(self._numbers), function, arguments)
        heapq.heappush(self._events, event)

    def _arrive_each(
        self, per_s: float, from_s: float, until_s: float, kind: Kind | None
    ) -> None:
        at_s = from_s + self.rng.expovariate(per_s)
        while at_s < until_s:
            self._call_at(at_s, self._arrive, kind)
            at_s += self.rng.expovariate(per_s)

    def _arrive(self, kind: Kind | None) -> None:
        number = len(self.streams)
        parts = (f"f{self.rng.randrange(3)}", f"s{self.rng.randrange(3)}")
        name = f"r{number}"
        if kind is None and self.rng.random() < self._alike_share:
            name, parts = "alike", ("f0", "s0")
        elif kind is not None and kind.is_part:
            parts = (parts[0], kind.name)
        elif kind is not None:
            name, parts = kind.name, kind.parts or ("f0", "s1")
        suspect = CrashSuspect(name, parts, f"a{number}")
        entry = self.rng.choice(list(self.entries))
        stream = Stream(suspect, entry, self.now_s, kind)
        self.streams.append(stream)
        standing = self._standing(entry, name, parts)
        stream.is_refused = standing is Standing.BLAMED
        if not stream.is_refused and self._begin(stream):
            stream.is_first_begun = True
            if kind is not None:
                kind.runs_s.append(self.now_s)

    def _begin(self, stream: Stream) -> bool:
        targets = sorted(self._up - stream.tried)
        if not targets:
            return False
        target = self.rng.choice(targets)
        stream.target = target
        stream.tried.add(target)
        stream.begun_s = self.now_s + self.rng.uniform(0.05, self._sound.begin_max_s)
        if stream.kind is not None:
            # Four of ten crashes come after the first bytes of an answer.
            crash_s = self.rng.uniform(0.01, 0.06)
            is_begun = self.rng.random() < 0.4
            stream.begun_s = self.now_s + (0.0 if is_begun else 1.0)
            self._call_in(crash_s, self._crash, stream.kind, target, stream)
        else:
            sound = self._sound
            end_s = self.rng.uniform(sound.end_min_s, sound.end_max_s)
            self._call_in(end_s, self._answer, stream, target, self._boots[target])
        return True

    def _answer(self, stream: Stream, target: int, boot: int) -> None:
        if stream.target != target or self._boots[target] != boot:
            return
        stream.target = None
        suspect = stream.suspect
        quarantine = self.entries[stream.entry].quarantine
        quarantine.history.record_attempt(
            self._scope(target), suspect.fingerprint, suspect.prompt_parts
        )
        quarantine.on_answered(suspect.fingerprint, self.now_s, suspect.prompt_parts)

    def _crash(self, kind: Kind, target: int, stream: Stream) -> None:
        if stream.target != target or target not in self._up:
            return
        kind.crashes_s.append(self.now_s)
        crash_id = f"t{target}/{self._boots[target]}"
        self._up.discard(target)
        self._boots[target] += 1
        self._call_in(self.rng.uniform(2.5, 4.5), self._up.add, target)
        broken = [s for s in self.streams if s.target == target]
        for name in sorted({stream.entry for stream in broken}):
            suspects = tuple(
                s.suspect
                for s in broken
                if s.entry == name and self.now_s - s.begun_s < SUSPECT_AFTER_BEGIN_S
            )
            # Two probes follow; where both are too early, the store tells.
            delay_s = self.rng.choice((0.055, 0.505, self.rng.uniform(0.6, 2.5)))
            if suspects:
                arguments = (crash_id, self._scope(target), suspects, delay_s)
                report = self.entries[name].gossip.report_crash
                self._call_in(delay_s, report, *arguments)
        for other in broken:
            other.target = None
            self._call_in(0.01, self._retry, other)

    def _retry(self, stream: Stream) -> None:
        suspect = stream.suspect
        standing = self._standing(
            stream.entry, suspect.fingerprint, suspect.prompt_parts
        )
        if standing is Standing.CLEAR and len(stream.tried) < ATTEMPTS_MAX:
            self._begin(stream)

    def _tick(self) -> None:
        for name, entry in self.entries.items():
            entry.timers.run_due()
            refused = {
                f"{first} {second}"
                for first in ("f0", "f1", "f2")
                for second in ("s0", "s1", "s2")
                if self._standing(name, "new", (first, second)) is Standing.BLAMED
            }
            if self._standing(name, "alike", ()) is Standing.BLAMED:
                refused.add("alike")
            guilty = {kind.name for kind in self.kinds}
            blamed = entry.quarantine.list_blamed(self.now_s)
            fingerprints = {verdict.cause.fingerprint for verdict in blamed}
            refused |= fingerprints - guilty - {""}
            if self.entries[name] is entry:
                self._note_refused(name, refused)

    def _note_refused(self, name: str, refused: set[str]) -> None:
        for item in refused:
            since_s = self._since_s.setdefault((name, item), self.now_s)
            longest_s = self.wrongly_blamed_s.get((name, item), 0.0)
            lasting_s = max(longest_s, self.now_s - since_s)
            self.wrongly_blamed_s[name, item] = lasting_s
        for key in [key for key in self._since_s if key[0] == name]:
            if key[1] not in refused:
                del self._since_s[key]

    def _standing(self, entry: str, name: str, parts: tuple[str, ...]) -> Standing:
        quarantine = self.entries[entry].quarantine
        return quarantine.standing(name, self.now_s, parts)[0]

    @staticmethod
    def _scope(target: int) -> tuple[str, str]:
        return "pool", "abc"[target % 3]
