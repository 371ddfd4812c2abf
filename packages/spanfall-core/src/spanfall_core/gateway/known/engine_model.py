"""Learn from requests how fast the engines of a service read prompts.

The wait for a first token is taken as a line over the work of reading: what
waits at the engine and the prompt itself. Entries add up what their requests
showed; sums of all entries give one line, so a fleet of many small entries
learns as fast as one large one. Orders, routing and grants read this line.
"""

from dataclasses import dataclass, field, fields

#: Tokens for which reading takes twice as long as its length alone says,
#: since each token also looks at all before it.
ATTENTION_TOKENS = 100_000
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
MOST_SURPRISE = 3.0
#: Slowest and fastest reading that is believed, in tokens a second.
LEAST_RATE = 2_000.0
MOST_RATE = 2_000_000.0


def reading_work(tokens: int) -> float:
    """Return what reading a prompt costs, in tokens of a short one."""
    return tokens * (1 + tokens / ATTENTION_TOKENS)


@dataclass(frozen=True, slots=True)
class ReadingSpeed:
    """State the line: seconds = base + work / rate."""

    base: float = PRIOR_BASE
    rate: float = PRIOR_RATE

    def seconds(self, work: float) -> float:
        """Return the expected wait for a first token behind such work."""
        return self.base + work / self.rate


@dataclass(slots=True)
class ReadingSums:
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

    def add_sums(self, other: 'ReadingSums', sign: float = 1) -> None:
        """Add the sums of others, or take them away."""
        for one in fields(self):
            total = getattr(self, one.name)
            setattr(self, one.name, total + sign * getattr(other, one.name))

    def fade(self, part: float) -> None:
        """Keep a part of the weight of all samples."""
        for one in fields(self):
            setattr(self, one.name, getattr(self, one.name) * part)

    def line(self) -> ReadingSpeed:
        """Return the line of least squares through the samples."""
        spread = self.count * self.work_square - self.work * self.work
        if spread <= 0:
            return ReadingSpeed()
        slope = (self.count * self.product - self.work * self.seconds) / spread
        rate = 1 / min(1 / LEAST_RATE, max(1 / MOST_RATE, slope))
        base = (self.seconds - self.work / rate) / self.count
        return ReadingSpeed(max(0, base), rate)


def prior_sums(prior: ReadingSpeed) -> ReadingSums:
    """Return the samples that stand for what is assumed at first."""
    sums = ReadingSums()
    for work in PRIOR_WORKS:
        sums.add(work, prior.seconds(work), PRIOR_SAMPLES)
    return sums


@dataclass(slots=True)
class ReadingModel:
    """Learn the line of one service from the sums of all entries."""

    #: What a new home heard from the home before.
    prior: ReadingSpeed = field(default_factory=ReadingSpeed)
    _sums: ReadingSums = field(default_factory=ReadingSums)
    _known: dict[str, ReadingSums] = field(default_factory=dict)
    _faded_at: float = 0

    def learn(self, entry: str, sums: ReadingSums, now: float) -> None:
        """Take the sums of an entry since its process started.

        The first sums of an entry only show where it stands.
        """
        self._fade(now)
        known = self._known.get(entry)
        self._known[entry] = sums
        if known is not None:
            self._sums.add_sums(sums)
            self._sums.add_sums(known, -1)

    def speed(self) -> ReadingSpeed:
        """Return the line that is in force now."""
        sums = prior_sums(self.prior)
        sums.add_sums(self._sums)
        return sums.line()

    def _fade(self, now: float) -> None:
        passed = now - self._faded_at
        if passed >= 1:
            self._sums.fade(0.5 ** (passed / SAMPLE_HALF_LIFE))
            self._faded_at = now


def bounded_seconds(seconds: float, expected: float) -> float:
    """Return a wait as far as it is believed."""
    return min(seconds, expected * MOST_SURPRISE)
