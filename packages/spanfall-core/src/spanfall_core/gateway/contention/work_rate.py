"""Learn how much work the upstreams of a service do."""

from dataclasses import dataclass, field

from spanfall_core.gateway.contention.rates import (
    AVERAGING_SECONDS,
    DecayingRate,
)


@dataclass(slots=True)
class WorkRate:
    """Learn the units per second that one upstream serves.

    While requests wait, the work sent is all that the upstreams can do. Before
    that it is only a lower bound, so the highest rate seen counts.
    """

    #: Units per second of one upstream; 0 until any work was sent.
    per_upstream: float = 0
    _sent: DecayingRate = field(default_factory=DecayingRate)

    def record_sent(self, units: float, now: float) -> None:
        """Count the units of a request that is sent now."""
        self._sent.add(units, now)

    def learn(self, upstreams: int, waiting_for: float, now: float) -> None:
        """Update the rate; requests have waited for so many seconds."""
        if not upstreams:
            return
        measured = self._sent.per_second(now) / upstreams
        if waiting_for < AVERAGING_SECONDS:
            measured = max(measured, self.per_upstream)
        self.per_upstream = measured
