"""Learn how much work the upstreams of a service do."""

from dataclasses import dataclass, field

from spanfall_core.gateway.contention.rates import (
    AVERAGING_SECONDS,
    DecayingRate,
)

#: Seconds for which requests have to wait until the work sent meanwhile shows
#: the rate: several times what it takes to give a turn.
LEARNING_SECONDS = 0.25


@dataclass(slots=True)
class WorkRate:
    """Learn the units per second that one upstream serves.

    While requests wait, the work sent is all that the upstreams can do. At
    other times it is only a lower bound.
    """

    #: Units per second of one upstream; 0 until requests have waited.
    per_upstream: float = 0
    _sent: DecayingRate = field(default_factory=DecayingRate)
    #: Units sent since requests began to wait.
    _sent_waiting: float = 0

    def record_sent(self, units: float, now: float) -> None:
        """Count the units of a request that is sent now."""
        self._sent.add(units, now)
        self._sent_waiting += units

    def learn(self, upstreams: int, waiting_for: float, now: float) -> None:
        """Update the rate; requests have waited for so many seconds."""
        if not upstreams:
            return
        measured = self._sent.per_second(now) / upstreams
        if not waiting_for:
            self._sent_waiting = 0
            if self.per_upstream:
                self.per_upstream = max(self.per_upstream, measured)
        elif waiting_for >= AVERAGING_SECONDS:
            self.per_upstream = measured
        elif waiting_for >= LEARNING_SECONDS:
            self.per_upstream = self._sent_waiting / waiting_for / upstreams
