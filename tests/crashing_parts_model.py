"""Model a fleet in virtual time whose upstreams crash by parts of prompts.

The home's table decides each send. A part of prompts crashes each upstream that
begins to answer it; upstreams also end for other reasons, several at a time.
"""

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from spanfall_core.gateway.crashes.crashes import CrashTable
from spanfall_core.gateway.crashes.evidence import BrokenRun
from spanfall_core.gateway.crashes.sound_parts import SOUND_SECONDS, SoundParts
from spanfall_core.gateway.crashes.standings import UNRESTRICTED, Standing
from spanfall_core.gateway.crashes.trials import TRIAL_SETTLE_SECONDS, Trials

#: Seconds per step; a cause crashes its upstream after the first step.
STEP = 0.1
#: Steps until the first part of an answer, and until an upstream is back.
FIRST_STEPS = 2
BACK_STEPS = 16
#: Seconds that a suspect waits for its trial before it is refused.
TRIAL_WAIT = 1.5
#: Seconds after which a caller gives up that finds no upstream.
NO_UPSTREAM_WAIT = 0.5
#: Sends of one request, with the retry of its caller.
MAX_SENDS = 3
VERSION = 'v1'


@dataclass(slots=True)
class Request:
    """Hold one request and how far it has come."""

    name: str
    parts: tuple[str, ...]
    entry: int
    steps: int
    #: Which of its parts crashes upstreams, if one does.
    cause: str
    asked_at: float
    sends: int = 0
    upstream: str = ''
    sent_at: float = 0
    age: int = 0
    is_observed: bool = False
    is_sound: bool = False
    is_trial: bool = False

    @property
    def traits(self):
        """Return the traits of the request."""
        return (self.name, *self.parts)


@dataclass
class ModelFleet:
    """Hold upstreams, runs and the home's table."""

    rng: Random
    upstreams: int = 8
    entries: int = 4
    table: CrashTable = field(default_factory=CrashTable)
    trials: Trials = field(default_factory=Trials)
    memory: list[SoundParts] = field(default_factory=list)
    now: float = 0
    born: int = 0
    alive: list[str] = field(default_factory=list)
    back_at: list[float] = field(default_factory=list)
    waiting: list[Request] = field(default_factory=list)
    running: list[Request] = field(default_factory=list)
    #: Times at which each cause crashed upstreams, and was sent to any.
    crashed_at: dict[str, list[float]] = field(default_factory=dict)
    deadly_sends: dict[str, list[float]] = field(default_factory=dict)
    #: Sound requests by how they ended, and seconds for which any was held.
    outcomes: Counter = field(default_factory=Counter)
    held_seconds: float = 0

    def __post_init__(self):
        self.memory = [SoundParts() for _ in range(self.entries)]
        for _ in range(self.upstreams):
            self._start_upstream()

    def _start_upstream(self):
        self.alive.append(f'u-{self.born}')
        self.born += 1

    def ask(self, parts, cause=''):
        """Let a caller send a request with some parts."""
        request = Request(
            f'r-{self.rng.random()}',
            parts,
            self.rng.randrange(self.entries),
            self.rng.randint(4, 16),
            cause,
            self.now,
        )
        self.waiting.append(request)

    def step(self):
        """Advance by one step."""
        self.now += STEP
        while self.back_at and self.back_at[0] <= self.now:
            self.back_at.pop(0)
            self._start_upstream()
        for request in list(self.waiting):
            self._send(request)
        for request in list(self.running):
            if request in self.running:
                self._run(request)

    def end_upstream(self, upstream):
        """End an upstream; what it runs breaks."""
        self.alive.remove(upstream)
        self.back_at.append(self.now + BACK_STEPS * STEP)
        broken = [one for one in self.running if one.upstream == upstream]
        self.rng.shuffle(broken)
        for request in broken:
            self.running.remove(request)
            self.trials.end(request.name, self.now)
            self.table.record(
                self._broken(request), self.now, judges_parts=True
            )
            if request.sends < MAX_SENDS:
                self.waiting.append(request)
            else:
                self._over(request, 'failed')

    def _broken(self, request):
        traits = request.traits[:1] if request.is_sound else request.traits
        memory = self.memory[request.entry]
        return BrokenRun(
            request.name,
            request.upstream,
            traits,
            memory.proven(traits[1:], VERSION, self.now),
            VERSION,
            is_trial=request.is_trial,
            sent_ago=self.now - request.sent_at,
        )

    def _over(self, request, outcome):
        if not request.cause:
            self.outcomes[outcome] += 1

    def _send(self, request):
        if not self.alive:
            if self.now - request.asked_at > NO_UPSTREAM_WAIT:
                self.waiting.remove(request)
                self._over(request, 'without upstream')
            return
        standing = self.table.standing(request.traits, self.now)
        if standing is Standing.QUARANTINED:
            self.waiting.remove(request)
            self._over(request, 'refused')
            return
        if standing is Standing.HELD or (
            standing is Standing.SUSPECT
            and not self.trials.try_begin('s', request.name, self.now)
        ):
            self._wait(request)
            return
        self.waiting.remove(request)
        request.upstream = self.rng.choice(self.alive)
        if standing not in UNRESTRICTED:
            loads = Counter(one.upstream for one in self.running)
            request.upstream = min(self.alive, key=loads.__getitem__)
        request.sends += 1
        request.sent_at = self.now
        request.age = 0
        request.is_observed = standing is not Standing.FREE
        request.is_sound = False
        request.is_trial = standing is Standing.SUSPECT
        if request.cause:
            self.deadly_sends.setdefault(request.cause, []).append(self.now)
        self.running.append(request)

    def _wait(self, request):
        if not request.cause:
            self.held_seconds += STEP
        if self.now - request.asked_at > TRIAL_WAIT:
            self.waiting.remove(request)
            self._over(request, 'held')

    def _run(self, request):
        request.age += 1
        if request.cause:
            self.crashed_at.setdefault(request.cause, []).append(self.now)
            self.end_upstream(request.upstream)
            return
        if request.age == FIRST_STEPS:
            self.trials.end(request.name, self.now + TRIAL_SETTLE_SECONDS)
        answered = (request.age - FIRST_STEPS) * STEP
        is_over = request.age >= request.steps
        if not request.is_sound and (is_over or answered >= SOUND_SECONDS):
            self._record_sound(request)
        if is_over:
            self.running.remove(request)
            self.trials.end(request.name, self.now)
            self.table.clear_request(request.name)
            self._over(request, 'served')

    def _record_sound(self, request):
        request.is_sound = True
        self.memory[request.entry].record(request.parts, VERSION, self.now)
        if request.is_observed:
            self.table.clear_parts(request.parts, VERSION)

    def late_sends(self, contact=3.0):
        """Return the most sends of a cause later than 3 s after its fifth crash."""
        return max(
            (
                sum(at > times[4] + contact for at in self.deadly_sends[cause])
                for cause, times in self.crashed_at.items()
                if len(times) > 4
            ),
            default=0,
        )
