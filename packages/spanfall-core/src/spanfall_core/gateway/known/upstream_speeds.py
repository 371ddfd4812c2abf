"""Tell how long work takes at single upstreams, relative to the usual.

The factor of an upstream is the product of what its requests showed and what
it states of its host at the moment. Nodes that hear nothing of an upstream
use the long-run factor that the home reported.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import nlargest
from math import log

from spanfall_core.gateway.known.learned_speeds import (
    LearnedSpeeds,
    RatioSums,
    log_ratio,
    valid_sums,
)
from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.stated_slowdowns import (
    StatedSlowdown,
    clamp_factor,
)

#: Maximum number of lifetimes about which something is kept.
MAX_LIFETIMES = 16_384
#: Maximum number of upstreams in one message with samples.
MAX_SAMPLES_PER_MESSAGE = 16
#: Maximum age in seconds of a statement that is reported.
MAX_REPORTED_AGE = 10.0
#: Maximum number of upstreams whose long-run factors are reported, those that
#: differ most from the usual, and the least difference that is worth a report.
MAX_REPORTED_FACTORS = 128
MIN_REPORTED_LOG = 0.05
#: Seconds for which a computed factor is used: far less than the newest
#: statement takes to lose its weight.
CACHE_SECONDS = 0.02
#: Seconds between two computations of them.
FACTORS_PERIOD = 0.25
#: Seconds after which a reported factor is no longer used: long enough to
#: bridge a change of the home.
REPORTED_FACTOR_SECONDS = 10.0

Factors = dict[Lifetime, float]


@dataclass(frozen=True, slots=True)
class SpeedSample:
    """Report what one entry learned about the speed of an upstream."""

    lifetime: Lifetime
    #: Newest slowdown that the upstream stated, or 0, and its age in seconds.
    slowdown: float = 0
    age: float = 0
    #: Number of measured durations, and the sum of the logarithms of their
    #: ratios to the expected ones.
    count: float = 0
    log_sum: float = 0


@dataclass(slots=True)
class UpstreamSpeeds:
    """Hold what is known about the speed of single upstreams."""

    _stated: dict[Lifetime, StatedSlowdown] = field(default_factory=dict)
    _learned: dict[str, LearnedSpeeds] = field(default_factory=dict)
    _services: dict[Lifetime, str] = field(default_factory=dict)
    #: Samples that the home has not received, the longest waiting first.
    _unsent: dict[Lifetime, RatioSums] = field(default_factory=dict)
    #: Factors computed a moment ago.
    _cached: Factors = field(default_factory=dict)
    _cached_at: float = float('-inf')
    #: Long-run factors that the home reported to this node.
    _reported: Factors = field(default_factory=dict)
    _reported_at: float = 0
    #: Factors that this node reports as the home, computed a moment ago.
    _to_report: Factors = field(default_factory=dict)
    _computed_at: float = float('-inf')
    #: Epoch of the home that got all samples of this node.
    _known_to_epoch: int = 0
    #: Time of the last log line with factors.
    logged_at: float = float('-inf')

    def factor(self, lifetime: Lifetime, now: float) -> float:
        """Return the duration of work that starts there now.

        It is relative to the usual one of the service; 1 if nothing is known.
        """
        if now - self._cached_at > CACHE_SECONDS:
            self._cached.clear()
            self._cached_at = now
        factor = self._cached.get(lifetime)
        if factor is None:
            factor = self._compute_factor(lifetime, now)
            self._cached[lifetime] = factor
        return factor

    def _compute_factor(self, lifetime: Lifetime, now: float) -> float:
        stated = self._stated.get(lifetime)
        if stated is None:
            return self.long_run_factor(lifetime, now)
        reported = self._reported_factor(lifetime, now)
        if reported is None:
            factor = self._learned_factor(lifetime)
        else:
            factor = reported / stated.long_run(now)
        return clamp_factor(factor * stated.at(now))

    def long_run_factor(self, lifetime: Lifetime, now: float) -> float:
        """Return the duration of work there in the next seconds."""
        reported = self._reported_factor(lifetime, now)
        if reported is not None:
            return reported
        stated = self._stated.get(lifetime)
        learned = self._learned_factor(lifetime)
        if stated is None:
            return learned
        return clamp_factor(learned * stated.long_run(now))

    def record_slowdown(
        self, service: str, lifetime: Lifetime, slowdown: float, now: float
    ) -> None:
        """Record the slowdown that an upstream stated to this node."""
        self._admit(service, lifetime)
        self._stated_row(lifetime).record(slowdown, now)
        self._cached.pop(lifetime, None)
        self._unsent.setdefault(lifetime, RatioSums())

    def record_duration(
        self,
        service: str,
        lifetime: Lifetime,
        measured: float,
        expected: float,
        now: float,
    ) -> None:
        """Record the measured and the expected seconds of work that ended.

        The measured ones are without the stated slowdown; see
        ``usual_seconds``.
        """
        learned = self._admit(service, lifetime)
        sums = RatioSums(1, log_ratio(measured, expected))
        learned.add(lifetime, sums, now)
        unsent = self._unsent.setdefault(lifetime, RatioSums())
        unsent.add(sums.count, sums.log_sum)

    def usual_seconds(
        self, lifetime: Lifetime, seconds: float, now: float
    ) -> float:
        """Return how long work that ends now takes on a host that is as usual."""
        stated = self._stated.get(lifetime)
        if stated is None:
            return seconds
        return seconds / stated.during(seconds, now)

    def merge(self, service: str, sample: SpeedSample, now: float) -> None:
        """Add what an entry reports of an upstream."""
        learned = self._admit(service, sample.lifetime)
        if sample.slowdown > 0 and 0 <= sample.age <= MAX_REPORTED_AGE:
            row = self._stated_row(sample.lifetime)
            row.record(sample.slowdown, now - sample.age)
            self._cached.pop(sample.lifetime, None)
        sums = valid_sums(sample.count, sample.log_sum)
        if sums.count:
            learned.add(sample.lifetime, sums, now)

    def take_samples(self, now: float) -> tuple[SpeedSample, ...]:
        """Return the samples for the next message; they count as sent."""
        lifetimes = list(self._unsent)[:MAX_SAMPLES_PER_MESSAGE]
        return tuple(
            self._sample(lifetime, self._unsent.pop(lifetime), now)
            for lifetime in lifetimes
        )

    def send_again(self, epoch: int) -> None:
        """Report all samples of this node to the home, unless it is the same."""
        if epoch == self._known_to_epoch:
            return
        self._known_to_epoch = epoch
        for lifetime, service in self._services.items():
            sums = self._learned[service].sums(lifetime)
            self._unsent[lifetime] = RatioSums(sums.count, sums.log_sum)

    def factors_to_report(self, now: float) -> Factors:
        """Return the long-run factors that differ most from the usual.

        They are computed at most once per ``FACTORS_PERIOD``.
        """
        if now - self._computed_at >= FACTORS_PERIOD:
            self._computed_at = now
            self._to_report = self._compute_factors(now)
        return self._to_report

    def _compute_factors(self, now: float) -> Factors:
        factors = {
            lifetime: self.long_run_factor(lifetime, now)
            for lifetime in self._services
        }
        differing = (
            (abs(log(factor)), lifetime)
            for lifetime, factor in factors.items()
            if abs(log(factor)) >= MIN_REPORTED_LOG
        )
        most = nlargest(MAX_REPORTED_FACTORS, differing)
        return {lifetime: factors[lifetime] for _, lifetime in most}

    def apply_reported(self, factors: Factors, now: float) -> None:
        """Use the long-run factors that the home reported."""
        self._reported = {
            lifetime: clamp_factor(factor)
            for lifetime, factor in factors.items()
        }
        self._reported_at = now

    def forget(self, lifetime: Lifetime) -> None:
        """Drop all that is known about a lifetime that has ended."""
        service = self._services.pop(lifetime, None)
        if service is not None:
            self._learned[service].forget(lifetime)
        self._stated.pop(lifetime, None)
        self._unsent.pop(lifetime, None)
        self._reported.pop(lifetime, None)
        self._cached.pop(lifetime, None)

    def _admit(self, service: str, lifetime: Lifetime) -> LearnedSpeeds:
        """Return the samples that those of a lifetime are added to.

        A lifetime stays with its first service. If there are too many, the one
        known for longest is forgotten.
        """
        known = self._services.setdefault(lifetime, service)
        if len(self._services) > MAX_LIFETIMES:
            self.forget(next(iter(self._services)))
        return self._learned.setdefault(known, LearnedSpeeds())

    def _stated_row(self, lifetime: Lifetime) -> StatedSlowdown:
        return self._stated.setdefault(lifetime, StatedSlowdown())

    def _learned_factor(self, lifetime: Lifetime) -> float:
        service = self._services.get(lifetime)
        return 1 if service is None else self._learned[service].factor(lifetime)

    def _reported_factor(self, lifetime: Lifetime, now: float) -> float | None:
        """Return the home's factor; None if it does not report factors."""
        if not self._reported:
            return None
        if now - self._reported_at > REPORTED_FACTOR_SECONDS:
            return None
        return self._reported.get(lifetime)

    def _sample(
        self, lifetime: Lifetime, sums: RatioSums, now: float
    ) -> SpeedSample:
        stated = self._stated.get(lifetime)
        if stated is None:
            return SpeedSample(lifetime, 0, 0, sums.count, sums.log_sum)
        age = max(0, now - stated.stated_at)
        return SpeedSample(
            lifetime, stated.newest, age, sums.count, sums.log_sum
        )


def effective_upstreams(
    lifetimes: Iterable[Lifetime], speeds: UpstreamSpeeds, now: float
) -> float:
    """Return how many upstreams of the usual speed do as much as these."""
    return sum(
        1 / speeds.long_run_factor(lifetime, now) for lifetime in lifetimes
    )
