"""Learn from requests how fast the engines of a service read prompts.

The wait for a first token is taken as a line over the work of reading: what
waits at the engine and the prompt itself. Entries add up what their requests
showed; sums of all entries give one line, so a fleet of many small entries
learns as fast as one large one. Orders, routing and grants read this line.
"""

from dataclasses import dataclass, field, fields

#: Tokens for which reading takes twice as long as its length alone says,
#: since each token also looks at all before it.
DOUBLE_COST_TOKENS = 100_000
#: What is assumed until requests show more: a slow engine, so that the first
#: seconds of a service err towards more engines.
PRIOR_RATE = 60_000.0
PRIOR_BASE = 0.03
#: Samples that the prior counts for, at a short and at a long prompt.
PRIOR_SAMPLES = 2.0
PRIOR_WORKS = (500.0, 10_000.0)
#: Seconds in which the weight of a sample halves: longer than a jam, shorter
#: than it takes an operator to change engines.
SAMPLE_HALF_LIFE = 30.0
#: A wait counts for at most this many times what was expected, so that one
#: silent engine does not spoil the line.
MAX_WAIT_RATIO = 3.0
#: Slowest and fastest reading that is believed, in tokens a second.
MIN_RATE = 2_000.0
MAX_RATE = 2_000_000.0


def prefill_work(tokens: int) -> float:
    """Return what reading a prompt costs, in tokens of a short one."""
    return tokens * (1 + tokens / DOUBLE_COST_TOKENS)


@dataclass(frozen=True, slots=True)
class PrefillSpeed:
    """State the line: seconds = base + work / rate."""

    base: float = PRIOR_BASE
    rate: float = PRIOR_RATE

    def seconds(self, work: float) -> float:
        """Return the expected wait for a first token behind such work."""
        return self.base + work / self.rate


@dataclass(slots=True)
class PrefillSums:
    """Hold sums over samples of work and seconds; sums can be added."""

    count: float = 0
    work: float = 0
    work_square: float = 0
    seconds: float = 0
    product: float = 0

    def add(self, work: float, seconds: float, weight: float = 1) -> None:
        """Add one sample."""
        self.count += weight
        self.work += weight * work
        self.work_square += weight * work * work
        self.seconds += weight * seconds
        self.product += weight * work * seconds

    def add_sums(self, other: 'PrefillSums', sign: float = 1) -> None:
        """Add the sums of others, or take them away."""
        for one in fields(self):
            total = getattr(self, one.name)
            setattr(self, one.name, total + sign * getattr(other, one.name))

    def decay(self, part: float) -> None:
        """Keep a part of the weight of all samples."""
        for one in fields(self):
            setattr(self, one.name, getattr(self, one.name) * part)

    def fit(self) -> PrefillSpeed:
        """Return the line of least squares through the samples."""
        denominator = self.count * self.work_square - self.work * self.work
        if denominator <= 0:
            return PrefillSpeed()
        slope = (
            self.count * self.product - self.work * self.seconds
        ) / denominator
        rate = 1 / min(1 / MIN_RATE, max(1 / MAX_RATE, slope))
        base = (self.seconds - self.work / rate) / self.count
        return PrefillSpeed(max(0, base), rate)


def prior_sums(prior: PrefillSpeed) -> PrefillSums:
    """Return the samples that stand for what is assumed at first."""
    sums = PrefillSums()
    for work in PRIOR_WORKS:
        sums.add(work, prior.seconds(work), PRIOR_SAMPLES)
    return sums


@dataclass(slots=True)
class PrefillModel:
    """Learn the line of one service from the sums of all entries."""

    #: What a new home heard from the home before.
    prior: PrefillSpeed = field(default_factory=PrefillSpeed)
    _sums: PrefillSums = field(default_factory=PrefillSums)
    _last_sums: dict[str, PrefillSums] = field(default_factory=dict)
    _decayed_at: float = 0

    def learn(self, entry: str, sums: PrefillSums, now: float) -> None:
        """Take the sums of an entry since its process started.

        The first sums of an entry only show where it stands.
        """
        self._decay(now)
        known = self._last_sums.get(entry)
        self._last_sums[entry] = sums
        if known is not None:
            self._sums.add_sums(sums)
            self._sums.add_sums(known, -1)

    def speed(self) -> PrefillSpeed:
        """Return the line that is in force now."""
        sums = prior_sums(self.prior)
        sums.add_sums(self._sums)
        return sums.fit()

    def _decay(self, now: float) -> None:
        passed = now - self._decayed_at
        if passed >= 1:
            self._sums.decay(0.5 ** (passed / SAMPLE_HALF_LIFE))
            self._decayed_at = now


def clamp_wait(seconds: float, expected: float) -> float:
    """Return a wait as far as it is believed."""
    return min(seconds, expected * MAX_WAIT_RATIO)
