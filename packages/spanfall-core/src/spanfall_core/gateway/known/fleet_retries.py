"""Sum the requests and the retries of all entries by service, at the home.

The sums come from the entries' reports and not from the shares by which each
entry limits itself, so they show whether the shares add up to more than the
fleet may send.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from spanfall_core.gateway.known.spending import Spending


@dataclass(frozen=True, slots=True)
class RetryCounts:
    """Count the requests for a service and their retries since a start."""

    requests: int = 0
    retries: int = 0


@dataclass(slots=True)
class SentRequests:
    """Count the requests and the retries of the last window."""

    requests: Spending = field(default_factory=Spending)
    retries: Spending = field(default_factory=Spending)


@dataclass(slots=True)
class FleetRetries:
    """Hold the sums over all entries, those that have ended included."""

    services: dict[str, SentRequests] = field(default_factory=dict)
    _excess_noted_at: dict[str, float] = field(default_factory=dict)

    def add(
        self,
        before: Mapping[str, RetryCounts],
        after: Mapping[str, RetryCounts],
        now: float,
    ) -> None:
        """Add what an entry sent between two of its reports."""
        for service, counts in after.items():
            known = before.get(service, RetryCounts())
            sent = self.services.setdefault(service, SentRequests())
            sent.requests.add(counts.requests - known.requests, now)
            sent.retries.add(counts.retries - known.retries, now)

    def should_note_excess(
        self, service: str, window: float, now: float
    ) -> bool:
        """Return whether an excess was not noted in the last window."""
        noted_at = self._excess_noted_at.get(service, float('-inf'))
        if now - noted_at < window:
            return False
        self._excess_noted_at[service] = now
        return True
