"""Estimate the prefill speed of the engines of a service from requests.

The time to first token is modelled as a linear function of the prefill work:
the work queued at the engine plus the prompt itself. Entries sum the samples
of their requests, and the home fits one line to the sums of all entries, so
that a fleet of many small entries learns as fast as one large entry.
Autoscaling, routing and grants use this line.
"""

from dataclasses import dataclass, field, fields

#: Prompt length, in tokens, at which attention doubles the cost of prefill
#: over the linear part, since each token attends to all tokens before it.
DOUBLE_COST_TOKENS = 100_000
#: Prior, in tokens per second and seconds, until there are samples: a slow
#: engine, so that the first seconds of a service over-provision engines.
PRIOR_RATE = 60_000.0
PRIOR_BASE = 0.03
#: Weight of the prior, in samples at a short and at a long prompt.
PRIOR_SAMPLES = 2.0
PRIOR_WORKS = (500.0, 10_000.0)
#: Half-life of the weight of a sample, in seconds: longer than a load spike,
#: shorter than it takes an operator to replace engines.
SAMPLE_HALF_LIFE = 30.0
#: Maximum ratio of a counted wait to the expected one, so that one
#: unresponsive engine does not distort the line.
MAX_WAIT_RATIO = 3.0
#: Bounds of the estimated prefill speed, in tokens per second.
MIN_RATE = 2_000.0
MAX_RATE = 2_000_000.0


def prefill_work(tokens: int) -> float:
    """Return the cost of the prefill of a prompt, in tokens of a short one."""
    return tokens * (1 + tokens / DOUBLE_COST_TOKENS)


@dataclass(frozen=True, slots=True)
class PrefillSpeed:
    """State the fitted line: seconds = base + work / rate."""

    base: float = PRIOR_BASE
    rate: float = PRIOR_RATE

    def seconds(self, work: float) -> float:
        """Return the expected time to first token for some prefill work."""
        return self.base + work / self.rate


@dataclass(slots=True)
class PrefillSums:
    """Accumulate samples of work and seconds as sums that can be added."""

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
        """Add other sums, or subtract them if the sign is -1."""
        for one in fields(self):
            total = getattr(self, one.name)
            setattr(self, one.name, total + sign * getattr(other, one.name))

    def decay(self, factor: float) -> None:
        """Multiply the weight of all samples by a factor."""
        for one in fields(self):
            setattr(self, one.name, getattr(self, one.name) * factor)

    def fit(self) -> PrefillSpeed:
        """Return the least-squares line through the samples."""
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
    """Return the samples that represent the prior."""
    sums = PrefillSums()
    for work in PRIOR_WORKS:
        sums.add(work, prior.seconds(work), PRIOR_SAMPLES)
    return sums


@dataclass(slots=True)
class PrefillModel:
    """Fit the line of one service to the sums of all entries."""

    #: Estimate that the previous home reported.
    prior: PrefillSpeed = field(default_factory=PrefillSpeed)
    _sums: PrefillSums = field(default_factory=PrefillSums)
    _last_sums: dict[str, PrefillSums] = field(default_factory=dict)
    _decayed_at: float = 0

    def learn(self, entry: str, sums: PrefillSums, now: float) -> None:
        """Add what the sums of an entry have gained since its last report.

        The sums count from the start of the entry's process; the first ones
        only set the baseline.
        """
        self._decay(now)
        known = self._last_sums.get(entry)
        self._last_sums[entry] = sums
        if known is not None:
            self._sums.add_sums(sums)
            self._sums.add_sums(known, -1)

    def speed(self) -> PrefillSpeed:
        """Return the current estimate."""
        sums = prior_sums(self.prior)
        sums.add_sums(self._sums)
        return sums.fit()

    def _decay(self, now: float) -> None:
        passed = now - self._decayed_at
        if passed >= 1:
            self._sums.decay(0.5 ** (passed / SAMPLE_HALF_LIFE))
            self._decayed_at = now


def clamp_wait(seconds: float, expected: float) -> float:
    """Return a wait, limited to a multiple of the expected one."""
    return min(seconds, expected * MAX_WAIT_RATIO)
