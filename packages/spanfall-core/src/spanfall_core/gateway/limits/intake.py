"""Bound the new connections of callers by the load of the node itself.

A node that reads more requests than it can process answers all of them late. A
connection that is closed unread costs its caller one more attempt, which meets
another node. The load is measured by how late the event loop runs: a delay that
stands for some samples, not a pause that is over.
"""

from collections import deque
from dataclasses import dataclass, field

#: Seconds between two samples of the delay of the event loop.
SAMPLE_PERIOD = 0.1
#: Number of samples whose smallest delay counts as standing.
STANDING_SAMPLES = 3
#: Standing delay in seconds from which on fewer connections are taken: less
#: than callers notice beside any latency target.
MAX_DELAY = 0.08
#: The same on the home, whose answers all entries wait for.
MAX_HOME_DELAY = 0.03
#: Fraction of a delay limit below which more connections are taken again.
RELAXED_FRACTION = 0.5
#: Factors by which the rate falls at each sample with too much delay, and rises
#: at each one with little.
DECREASE = 0.75
INCREASE = 1.1
#: Connections per second that are taken at any load: a node that takes none for
#: seconds is not ready.
MIN_RATE = 5.0
#: Seconds over which the rate of offered connections is measured.
OFFERED_SECONDS = 1.0
#: Multiple of the offered rate from which on the limit has no effect and ends.
ENDING_MULTIPLE = 2.0
#: Connections that may be taken at once, as seconds of the rate.
BURST_SECONDS = 0.1


@dataclass(slots=True)
class Intake:
    """Decide which new connections a node takes."""

    #: Connections per second that are taken; None: all of them.
    rate: float | None = None
    _delays: deque[float] = field(
        default_factory=lambda: deque(maxlen=STANDING_SAMPLES)
    )
    _tokens: float = 0
    _filled_at: float = 0
    _offered: int = 0
    _offered_rate: float = 0
    _counted_from: float = 0

    @property
    def standing_delay(self) -> float:
        """Return the delay in seconds that has stood for some samples."""
        if len(self._delays) < STANDING_SAMPLES:
            return 0
        return min(self._delays)

    def takes(self, now: float) -> bool:
        """Return whether to take a connection that arrives now."""
        self._offered += 1
        if self.rate is None:
            return True
        self._fill(self.rate, now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def sample(self, delay: float, now: float, *, is_home: bool) -> None:
        """Record how late the event loop runs, and adapt the rate."""
        self._delays.append(delay)
        self._count_offered(now)
        limit = MAX_HOME_DELAY if is_home else MAX_DELAY
        standing = self.standing_delay
        if standing > limit:
            self._decrease(now)
        elif standing < limit * RELAXED_FRACTION:
            self._increase()

    def _decrease(self, now: float) -> None:
        if self.rate is None:
            self._tokens = 0
            self._filled_at = now
        before = self._offered_rate if self.rate is None else self.rate
        self.rate = max(MIN_RATE, before * DECREASE)

    def _increase(self) -> None:
        if self.rate is None:
            return
        rate = self.rate * INCREASE
        ending = ENDING_MULTIPLE * max(self._offered_rate, MIN_RATE)
        self.rate = None if rate > ending else rate

    def _count_offered(self, now: float) -> None:
        seconds = now - self._counted_from
        if seconds >= OFFERED_SECONDS:
            self._offered_rate = self._offered / seconds
            self._offered = 0
            self._counted_from = now

    def _fill(self, rate: float, now: float) -> None:
        most = max(1, rate * BURST_SECONDS)
        filled = self._tokens + (now - self._filled_at) * rate
        self._tokens = min(most, filled)
        self._filled_at = now
