"""Enforce the rate limits that upstreams name, by permits.

Each request to such an upstream needs a permit, retries included. Only the
holder of the home's lease issues permits, one with each grant. So one node
bounds what all entries send: no permits are held in advance, and an entry
that reaches no home sends nothing to these upstreams.
"""

from collections.abc import Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from heapq import heappop, heappush

from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.listed import ListedUpstream

#: Burst after an idle period: this many permits, and in addition the permits
#: of this many seconds at the rate of the upstream.
BURST = 2.0
BURST_SECONDS = 0.5
#: Minimum permits a second, also for an upstream that names a lower rate or
#: zero: only its next answer shows whether that rate still applies.
MIN_RATE = 0.1
#: Maximum seconds after which a refused caller is asked to retry.
MAX_WAIT_SECONDS = 5.0
#: Part of a permit that may be missing because of rounding errors.
ROUNDING_TOLERANCE = 1e-6
#: Minimum seconds until the next check for permits: the steady clock of a
#: host with a long uptime cannot represent shorter steps.
MIN_RECHECK_SECONDS = 0.001


@dataclass(slots=True)
class TokenBucket:
    """Hold the permits of one upstream, refilled at its rate.

    It starts empty. So a new home, and an upstream that has just named its
    limit, need no count of the requests that were sent before.
    """

    rate: float
    #: Time of the last refill.
    at: float
    level: float = 0

    def refill(self, now: float) -> None:
        """Add the permits accrued until now."""
        capacity = BURST + self.rate * BURST_SECONDS
        grown = self.level + self.rate * max(0, now - self.at)
        self.level = min(capacity, grown)
        self.at = max(self.at, now)

    @property
    def is_empty(self) -> bool:
        """Tell whether no permit is available."""
        return self.level < 1 - ROUNDING_TOLERANCE

    @property
    def next_permit_at(self) -> float:
        """Return the time at which a permit is available."""
        return self.at + max(MIN_RECHECK_SECONDS, (1 - self.level) / self.rate)


@dataclass(slots=True)
class RetrySchedule:
    """Schedule the retries of a service's refused callers."""

    rows: Sequence[ListedUpstream] = ()
    #: Version of the rates that this schedule uses.
    version: int = 0
    #: Permits a second of all upstreams of the service.
    rate: float = 0
    #: Retry time of the caller that was refused last.
    last_retry_at: float = float('-inf')


@dataclass(slots=True)
class Permits:
    """Hold the token bucket of each upstream that names a limit."""

    _buckets: dict[Lifetime, TokenBucket] = field(default_factory=dict)
    _exhausted: set[Lifetime] = field(default_factory=set)
    #: Times at which exhausted upstreams are checked again.
    _recheck_queue: list[tuple[float, Lifetime]] = field(default_factory=list)
    _schedules: dict[str, RetrySchedule] = field(default_factory=dict)
    #: Incremented with each change of a rate.
    _version: int = 0

    def set_rate(
        self,
        lifetime: Lifetime,
        rate: float | None,
        now: float,
    ) -> None:
        """Set the rate of an upstream; None: it names no limit."""
        self._version += 1
        if rate is None:
            self._buckets.pop(lifetime, None)
            self._exhausted.discard(lifetime)
            return
        bucket = self._buckets.setdefault(lifetime, TokenBucket(MIN_RATE, now))
        bucket.refill(now)
        bucket.rate = max(MIN_RATE, rate)
        bucket.refill(now)
        self._update_availability(lifetime, bucket)

    def withheld(self, now: float) -> AbstractSet[Lifetime]:
        """Return the upstreams that may receive no request now."""
        while self._recheck_queue and self._recheck_queue[0][0] <= now:
            _, lifetime = heappop(self._recheck_queue)
            bucket = self._buckets.get(lifetime)
            if bucket is not None and lifetime in self._exhausted:
                bucket.refill(now)
                self._update_availability(lifetime, bucket)
        return self._exhausted

    def acquire(self, lifetime: Lifetime, now: float) -> bool:
        """Issue a permit; return False if the upstream needs none."""
        bucket = self._buckets.get(lifetime)
        if bucket is None:
            return False
        bucket.refill(now)
        bucket.level -= 1
        self._update_availability(lifetime, bucket)
        return True

    def wait(
        self,
        service: str,
        rows: Sequence[ListedUpstream],
        now: float,
    ) -> float:
        """Return the seconds after which a refused caller is to retry.

        Retries are spread out at the rate at which permits become available.
        0: no upstream of the service names a limit.
        """
        schedule = self._schedules.setdefault(service, RetrySchedule())
        if schedule.rows is not rows or schedule.version != self._version:
            schedule.rows = rows
            schedule.version = self._version
            schedule.rate = self._rate_of(rows)
        if not schedule.rate:
            return 0
        last_retry_at = max(now, schedule.last_retry_at) + 1 / schedule.rate
        schedule.last_retry_at = min(last_retry_at, now + MAX_WAIT_SECONDS)
        return schedule.last_retry_at - now

    def _rate_of(self, rows: Sequence[ListedUpstream]) -> float:
        buckets = (self._buckets.get(row.lifetime) for row in rows)
        return sum(bucket.rate for bucket in buckets if bucket is not None)

    def _update_availability(
        self,
        lifetime: Lifetime,
        bucket: TokenBucket,
    ) -> None:
        """Update whether the upstream has permits; schedule the next check."""
        if bucket.is_empty:
            self._exhausted.add(lifetime)
            heappush(self._recheck_queue, (bucket.next_permit_at, lifetime))
        else:
            self._exhausted.discard(lifetime)
