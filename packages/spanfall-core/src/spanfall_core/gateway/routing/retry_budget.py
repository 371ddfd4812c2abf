"""Limit the retries of an entry to its share of the fleet's retry budget.

In any window, the fleet may retry a fraction of its requests plus a fixed
allowance. Each entry counts its own requests and retries of the last window
and holds a share of the allowance (see ``allowance_share``). The sum over all
entries, those that ended included, therefore stays within the budget in every
window without a message for any retry.

The platform counts retries as they arrive, and what waits behind a cut arrives
later than it was sent. So a retry is counted for longer than the window, by the
time after which data that nobody acknowledged is dropped.
"""

from collections import Counter
from dataclasses import dataclass, field

from spanfall_core.gateway.known.fleet_retries import RetryCounts
from spanfall_core.gateway.known.spending import Spending
from spanfall_core.gateway.routing.allowance_share import AllowanceShare

#: Fraction of the platform's limit that is used.
SAFETY_FACTOR = 0.7


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """State the retries that the whole fleet may make in one window."""

    ratio: float
    allowance: float
    #: Length of the window in seconds.
    window: float
    #: Maximum seconds between the send of a retry and its arrival.
    delivery: float = 0

    def allowed(self, requests: float) -> float:
        """Return the retries that go with the requests of one window."""
        return requests * self.ratio + self.allowance


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Hold whether a retry was allowed and what that was computed from."""

    is_allowed: bool
    #: Retries that still count or are reserved, and how many were allowed.
    spent: float
    credit: float
    #: Requests of the last window.
    requests: float
    #: Part of the allowance that the entry held, the number of entries that it
    #: divided by, and the seconds since a home told one.
    part: float
    entries: int
    entries_age: float
    #: Seconds since the process started.
    process_age: float

    def __str__(self) -> str:
        """Return the decision as text for the log."""
        verb = 'allowed' if self.is_allowed else 'not allowed'
        return (
            f'{verb} with {self.spent:g} of {self.credit:.2f} spent: '
            f'{self.requests:g} requests, {self.part:.4f} of the allowance, '
            f'{self.entries} entries as of {self.entries_age:.1f} s ago, '
            f'process started {self.process_age:.1f} s ago'
        )


@dataclass(slots=True)
class SentRequests:
    """Count the requests and the retries of the last window."""

    requests: Spending = field(default_factory=Spending)
    retries: Spending = field(default_factory=Spending)


@dataclass(slots=True)
class RetryBudget:
    """Hold the retry budget of one entry, by service."""

    limits: RetryLimits
    share: AllowanceShare
    _sent: dict[str, SentRequests] = field(default_factory=dict)
    #: Retries that were allowed and not sent yet, by service.
    _reserved: Counter[str] = field(default_factory=Counter)

    def record_request(self, service: str, now: float) -> None:
        """Count a request, which adds a fraction of a retry to the credit."""
        self._for_service(service).requests.spend(1, self.limits.window, now)

    def try_reserve(self, service: str, now: float) -> RetryDecision:
        """Reserve the credit for one retry, if there is enough.

        Unused credit expires with its window. Accumulated credit would exceed
        the limit as soon as most upstreams refuse at once.
        """
        decision = self._decide(service, now)
        if decision.is_allowed:
            self._reserved[service] += 1
        return decision

    def record_send(self, service: str, now: float) -> None:
        """Count a reserved retry, which is sent now."""
        self._reserved[service] -= 1
        retries = self._for_service(service).retries
        retries.spend(1, self._counted_seconds, now)

    def release(self, service: str) -> None:
        """Return the credit of a reserved retry that is not sent."""
        self._reserved[service] -= 1

    def recent_counts(self, now: float) -> dict[str, RetryCounts]:
        """Return the counts of the services that had retries lately."""
        return {
            service: RetryCounts(
                sent.requests.recent(self.limits.window, now), retries
            )
            for service, sent in self._sent.items()
            if (retries := sent.retries.recent(self._counted_seconds, now))
        }

    @property
    def _counted_seconds(self) -> float:
        return self.limits.window + self.limits.delivery

    def _decide(self, service: str, now: float) -> RetryDecision:
        sent = self._for_service(service)
        window = self.limits.window
        requests = sent.requests.recent(window, now)
        earned = requests * self.limits.ratio
        part = self.share.part(now)
        credit = (earned + part * self.limits.allowance) * SAFETY_FACTOR
        spent = sent.retries.recent(self._counted_seconds, now)
        spent += self._reserved[service]
        return RetryDecision(
            spent + 1 <= credit,
            spent,
            credit,
            requests,
            part,
            self.share.largest_count(now),
            now - self.share.told_at,
            now - self.share.started_at,
        )

    def _for_service(self, service: str) -> SentRequests:
        return self._sent.setdefault(service, SentRequests())
