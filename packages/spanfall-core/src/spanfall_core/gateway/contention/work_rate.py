"""Learn how much work the upstreams of a service do."""

from collections import deque
from dataclasses import dataclass, field

#: Seconds over which work is averaged: shorter than a burst of load.
AVERAGING_SECONDS = 1.0
#: Minimum sends over which work is averaged. Where runs are long and few, they
#: span more than ``AVERAGING_SECONDS``, and fewer would show the gaps between
#: them.
AVERAGING_SENDS = 8
#: Seconds for which requests have to wait until the work sent meanwhile shows
#: the rate: several times what it takes to give a turn.
LEARNING_SECONDS = 0.25
#: Seconds of sends that are summed up, which bounds the memory.
BATCH_SECONDS = 0.02


@dataclass(slots=True)
class SentBatch:
    """Sum up requests that were sent within ``BATCH_SECONDS``."""

    began_at: float
    last_at: float
    sends: int = 0
    #: Units that each upstream got of them.
    units: float = 0


@dataclass(slots=True)
class RecentSends:
    """Hold the last sends: of ``AVERAGING_SECONDS`` and the least number."""

    _batches: deque[SentBatch] = field(default_factory=deque)
    _sends: int = 0
    _units: float = 0

    def add(self, units: float, now: float) -> None:
        """Count a request that is sent now."""
        batches = self._batches
        if not batches or now - batches[-1].began_at >= BATCH_SECONDS:
            batches.append(SentBatch(now, now))
        last = batches[-1]
        last.last_at = now
        last.sends += 1
        last.units += units
        self._sends += 1
        self._units += units

    def per_second(self, now: float) -> float:
        """Return the units per second, 0 before the first send.

        The first batch was sent before the time that counts. It stands for
        what its runs make room for until enough was sent after it.
        """
        self._forget(now)
        if not self._batches:
            return 0
        first = self._batches[0]
        units = self._units
        if self._sends - first.sends >= AVERAGING_SENDS:
            units -= first.units
        return units / max(AVERAGING_SECONDS, now - first.last_at)

    def _forget(self, now: float) -> None:
        """Forget the first batch while those after the second are enough."""
        batches = self._batches
        while len(batches) > 1:
            first, second = batches[0], batches[1]
            is_recent = now - second.last_at < AVERAGING_SECONDS
            left = self._sends - first.sends - second.sends
            if is_recent or left < AVERAGING_SENDS:
                break
            self._sends -= first.sends
            self._units -= first.units
            batches.popleft()


@dataclass(slots=True)
class WorkRate:
    """Learn the units per second that one upstream serves.

    While requests wait, the work sent is all that the upstreams can do. At
    other times it is only a lower bound.
    """

    #: Units per second of one upstream; 0 until requests have waited.
    per_upstream: float = 0
    _recent: RecentSends = field(default_factory=RecentSends)
    #: Requests sent since requests began to wait, and their units for each
    #: upstream.
    _sends_waiting: int = 0
    _units_waiting: float = 0
    #: Upstreams that got the requests sent now.
    _upstreams: int = 1

    def record_sent(self, units: float, now: float) -> None:
        """Count the units of a request that is sent now.

        They are shared by the upstreams that there are now, so that the rate
        of one stays the same when others go.
        """
        share = units / self._upstreams
        self._recent.add(share, now)
        self._sends_waiting += 1
        self._units_waiting += share

    def learn(self, upstreams: int, waiting_for: float, now: float) -> None:
        """Update the rate; requests have waited for so many seconds."""
        if not upstreams:
            return
        self._upstreams = upstreams
        if not waiting_for:
            self._sends_waiting = 0
            self._units_waiting = 0
            if self.per_upstream:
                measured = self._recent.per_second(now)
                self.per_upstream = max(self.per_upstream, measured)
        elif waiting_for >= LEARNING_SECONDS:
            self.per_upstream = self._measured_waiting(waiting_for, now)

    def _measured_waiting(self, waiting_for: float, now: float) -> float:
        """Return the rate while requests wait.

        The load before does not count, unless too little was sent since. If
        nothing was, it only shows how much places took that were free.
        """
        if not self._sends_waiting:
            return min(self.per_upstream, self._recent.per_second(now))
        is_short = waiting_for < AVERAGING_SECONDS
        if is_short and self._sends_waiting >= AVERAGING_SENDS:
            return self._units_waiting / waiting_for
        return self._recent.per_second(now)
