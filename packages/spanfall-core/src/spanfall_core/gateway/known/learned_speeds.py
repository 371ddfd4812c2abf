"""Learn the speed of single upstreams from how long their work took.

Each sample is the ratio of the measured to the expected seconds of one piece
of work. The factor of an upstream is the geometric mean of its ratios,
relative to that of its service: the expected seconds are fitted to the
requests of the whole service, so its own speed is part of them.
"""

from dataclasses import dataclass, field
from math import exp, isfinite, log

from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.stated_slowdowns import (
    MAX_FACTOR,
    MIN_FACTOR,
    clamp_factor,
)

#: Weight of the assumption that an upstream is as fast as the others, in
#: samples.
PRIOR_SAMPLES = 4.0
#: Maximum weight of the samples of one upstream, so that a changed speed shows
#: after as many new ones also on a busy upstream.
MAX_SAMPLES = 64.0
#: Half-life of the weight of a sample, in seconds.
SAMPLE_HALF_LIFE = 30.0
#: Seconds between two reductions of all weights.
DECAY_PERIOD = 1.0
MAX_LOG_RATIO = log(MAX_FACTOR)


@dataclass(slots=True)
class RatioSums:
    """Sum the logarithms of ratios of measured to expected seconds."""

    count: float = 0
    log_sum: float = 0

    def add(self, count: float, log_sum: float) -> None:
        """Add samples, or take them away if both are negative."""
        self.count += count
        self.log_sum += log_sum

    def scale(self, factor: float) -> None:
        """Multiply the weight of all samples by a factor."""
        self.count *= factor
        self.log_sum *= factor


def valid_sums(count: float, log_sum: float) -> RatioSums:
    """Return received sums within their bounds, empty if they are invalid."""
    if not (isfinite(count) and isfinite(log_sum)) or count <= 0:
        return RatioSums()
    mean = min(MAX_LOG_RATIO, max(-MAX_LOG_RATIO, log_sum / count))
    count = min(count, MAX_SAMPLES)
    return RatioSums(count, mean * count)


def log_ratio(measured: float, expected: float) -> float:
    """Return the logarithm of the ratio of two durations, within bounds."""
    if measured <= 0 or expected <= 0:
        return 0
    return log(min(MAX_FACTOR, max(MIN_FACTOR, measured / expected)))


@dataclass(slots=True)
class LearnedSpeeds:
    """Hold the samples of the upstreams of one service."""

    _sums: dict[Lifetime, RatioSums] = field(default_factory=dict)
    _total: RatioSums = field(default_factory=RatioSums)
    _decayed_at: float = 0

    def add(self, lifetime: Lifetime, added: RatioSums, now: float) -> None:
        """Add samples of an upstream."""
        self._decay(now)
        sums = self._sums.setdefault(lifetime, RatioSums())
        self._total.add(-sums.count, -sums.log_sum)
        sums.add(added.count, added.log_sum)
        sums.scale(min(1, MAX_SAMPLES / max(sums.count, 1)))
        self._total.add(sums.count, sums.log_sum)

    def factor(self, lifetime: Lifetime) -> float:
        """Return the duration of work there, relative to the service's."""
        sums = self._sums.get(lifetime)
        if sums is None:
            return 1
        total = self._total
        service = total.log_sum / (total.count + PRIOR_SAMPLES)
        excess = sums.log_sum - sums.count * service
        return clamp_factor(exp(excess / (sums.count + PRIOR_SAMPLES)))

    def sums(self, lifetime: Lifetime) -> RatioSums:
        """Return the sums of an upstream."""
        return self._sums.get(lifetime, RatioSums())

    def forget(self, lifetime: Lifetime) -> None:
        """Drop the samples of an upstream that is gone."""
        sums = self._sums.pop(lifetime, RatioSums())
        self._total.add(-sums.count, -sums.log_sum)

    def _decay(self, now: float) -> None:
        passed = now - self._decayed_at
        if passed < DECAY_PERIOD:
            return
        self._decayed_at = now
        for sums in (*self._sums.values(), self._total):
            sums.scale(0.5 ** (passed / SAMPLE_HALF_LIFE))
