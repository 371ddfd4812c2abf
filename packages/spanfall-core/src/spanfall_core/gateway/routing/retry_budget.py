"""Bound how many requests an entry sends to a second upstream.

The fleet may send a share of its requests again, and a fixed allowance, in
any window. Each entry counts its own requests and retries of the last window
and holds an equal part of the allowance, so the sum over all entries stays
inside in every window, and no entry needs to ask another.
"""

from dataclasses import dataclass, field

from spanfall_core.gateway.known.spending import Spending

#: Part of what the platform allows that is used, for what entries that died
#: in the same window had spent.
SAFETY_FACTOR = 0.7


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """State what the whole fleet may send again in one window."""

    ratio: float
    allowance: float
    #: Seconds of the window.
    window: float


@dataclass(slots=True)
class SentRequests:
    """Hold the requests and the retries of the last window."""

    requests: Spending = field(default_factory=Spending)
    retries: Spending = field(default_factory=Spending)


@dataclass(slots=True)
class RetryBudget:
    """Hold what one entry has sent, by service."""

    limits: RetryLimits
    entries: int = 1
    _sent: dict[str, SentRequests] = field(default_factory=dict)

    def record_request(self, service: str, now: float) -> None:
        """Count a request; it earns a part of a retry."""
        self._for_service(service).requests.spend(1, self.limits.window, now)

    def try_spend(self, service: str, now: float) -> bool:
        """Take the credit for sending one request again.

        Credit that was not used leaves with its window: saved up, it passed
        the limit as soon as most upstreams refused at once.
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
