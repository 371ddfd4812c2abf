"""Estimate rates from counters that only grow."""

from dataclasses import dataclass, field

from spanfall_core.gateway.known.fleet import Counts

#: Seconds over which rates are averaged.
RATE_AVERAGE_SECONDS = 2.0


@dataclass(slots=True)
class RateEstimator:
    """Estimate the growth per second of one counter of each service."""

    totals: Counts = field(default_factory=dict)
    rates: dict[str, float] = field(default_factory=dict)
    updated_at: float = 0
    #: Time constant of the average, in seconds.
    average_seconds: float = RATE_AVERAGE_SECONDS

    def update(self, totals: Counts, now: float) -> None:
        """Update the exponentially smoothed rates from new totals."""
        elapsed = now - self.updated_at
        for service, total in totals.items():
            previous = self.totals.get(service, total)
            weight = min(1.0, elapsed / self.average_seconds)
            rate = max(0, total - previous) / max(elapsed, 0.01)
            old = self.rates.get(service, 0)
            self.rates[service] = old + weight * (rate - old)
        self.totals = totals
        self.updated_at = now
