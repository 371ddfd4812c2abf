"""Limit the retries of an entry to its share of the fleet's retry budget.

In any window, the fleet may retry a fraction of its requests plus a fixed
allowance. Each entry counts its own requests and retries of the last window
and holds an equal share of the allowance. The sum over all entries therefore
stays within the budget in every window without coordination.
"""

from dataclasses import dataclass, field

from spanfall_core.gateway.known.spending import Spending

#: Fraction of the platform's limit that is used. The rest covers the retries of
#: entries that died in the same window.
SAFETY_FACTOR = 0.7


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """State the retries that the whole fleet may make in one window."""

    ratio: float
    allowance: float
    #: Length of the window in seconds.
    window: float


@dataclass(slots=True)
class SentRequests:
    """Count the requests and the retries of the last window."""

    requests: Spending = field(default_factory=Spending)
    retries: Spending = field(default_factory=Spending)


@dataclass(slots=True)
class RetryBudget:
    """Hold the retry budget of one entry, by service."""

    limits: RetryLimits
    entries: int = 1
    _sent: dict[str, SentRequests] = field(default_factory=dict)

    def record_request(self, service: str, now: float) -> None:
        """Count a request, which adds a fraction of a retry to the credit."""
        self._for_service(service).requests.spend(1, self.limits.window, now)

    def try_spend(self, service: str, now: float) -> bool:
        """Spend the credit for one retry, if there is enough.

        Unused credit expires with its window. Accumulated credit would exceed
        the limit as soon as most upstreams refuse at once.
        """
        sent = self._for_service(service)
        window = self.limits.window
        share = self.limits.allowance / max(1, self.entries)
        earned = sent.requests.recent(window, now) * self.limits.ratio
        credit = (earned + share) * SAFETY_FACTOR
        if sent.retries.recent(window, now) + 1 > credit:
            return False
        sent.retries.spend(1, window, now)
        return True

    def _for_service(self, service: str) -> SentRequests:
        return self._sent.setdefault(service, SentRequests())
