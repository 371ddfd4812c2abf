"""Let upstreams that name a limit get what they take, by permits.

Each request to such an upstream needs a permit, first sends and repeated ones
alike, and only the holder of the home's lease gives any, one with a grant. So
what all entries send is what one node gave: nothing is held in advance, and
an entry that hears no home sends nothing there.
"""

from collections.abc import Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from heapq import heappop, heappush

from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.listed import ListedUpstream

#: Permits that may be given at once after a pause, and the seconds of its rate
#: that an upstream may get at once besides.
BURST = 2.0
BURST_SECONDS = 0.5
#: Permits a second for an upstream that takes fewer, or none: its next answer
#: tells whether that still holds.
MIN_RATE = 0.1
#: Longest time after which a caller that finds no room is to come back.
MAX_WAIT_SECONDS = 5.0
#: Part of a permit that rounding may lack.
ROUNDING_TOLERANCE = 1e-6
#: Seconds until the next look for room at the least: the steady clock of a host
#: that runs for long has no digits for less.
MIN_RECHECK_SECONDS = 0.001


@dataclass(slots=True)
class TokenBucket:
    """Hold the permits that one upstream leaves, growing with time.

    It begins with none: a home that begins, and an upstream that has just
    named its limit, have what was sent before behind them, and nobody has to
    know how much that was.
    """

    rate: float
    at: float
    level: float = 0

    def refill(self, now: float) -> None:
        """Add what has grown until now."""
        capacity = BURST + self.rate * BURST_SECONDS
        grown = self.level + self.rate * max(0, now - self.at)
        self.level = min(capacity, grown)
        self.at = max(self.at, now)

    @property
    def is_empty(self) -> bool:
        """Tell whether there is no permit to give."""
        return self.level < 1 - ROUNDING_TOLERANCE

    @property
    def next_permit_at(self) -> float:
        """Return when there is one."""
        return self.at + max(MIN_RECHECK_SECONDS, (1 - self.level) / self.rate)


@dataclass(slots=True)
class RetrySchedule:
    """Hold who of a service's callers may come back when."""

    rows: Sequence[ListedUpstream] = ()
    #: Version of the rates that it rests on.
    version: int = 0
    #: Permits a second of all its upstreams.
    rate: float = 0
    #: Turn of the caller that was told last.
    last_retry_at: float = float('-inf')


@dataclass(slots=True)
class Permits:
    """Hold the room at each upstream that names a limit."""

    _buckets: dict[Lifetime, TokenBucket] = field(default_factory=dict)
    _exhausted: set[Lifetime] = field(default_factory=set)
    #: When room is to be looked for again at one that was full.
    _recheck_queue: list[tuple[float, Lifetime]] = field(default_factory=list)
    _schedules: dict[str, RetrySchedule] = field(default_factory=dict)
    #: Grows with each change of a rate.
    _version: int = 0

    def set_rate(
        self,
        lifetime: Lifetime,
        rate: float | None,
        now: float,
    ) -> None:
        """Take another rate of an upstream; None: it names no limit."""
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
        """Return the upstreams that may get nothing now."""
        while self._recheck_queue and self._recheck_queue[0][0] <= now:
            _, lifetime = heappop(self._recheck_queue)
            bucket = self._buckets.get(lifetime)
            if bucket is not None and lifetime in self._exhausted:
                bucket.refill(now)
                self._update_availability(lifetime, bucket)
        return self._exhausted

    def acquire(self, lifetime: Lifetime, now: float) -> bool:
        """Give a permit; False: the upstream needs none."""
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
        """Return the seconds after which a caller's turn comes.

        Callers that find no room come back one after the other, as room comes
        free. 0: no upstream of the service names a limit.
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
        self, lifetime: Lifetime, bucket: TokenBucket
    ) -> None:
        """Note whether there is room; look again when some comes free."""
        if bucket.is_empty:
            self._exhausted.add(lifetime)
            heappush(self._recheck_queue, (bucket.next_permit_at, lifetime))
        else:
            self._exhausted.discard(lifetime)
