"""Bound how many requests an entry sends to a second upstream.

The fleet may send a share of its requests again, and a fixed allowance, in
any window. Each entry earns the share from its own requests and holds an
equal part of the allowance, so no entry needs to ask another.
"""

from dataclasses import dataclass, field

#: Part of what the platform allows that is used, for what entries that died
#: in the same window had spent.
SAFE_PART = 0.7


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """State what the whole fleet may send again in one window."""

    ratio: float
    allowance: float
    window: float


@dataclass(slots=True)
class RetryBudget:
    """Hold the credit of one entry for each service."""

    limits: RetryLimits
    entries: int = 1
    _credits: dict[str, float] = field(default_factory=dict)
    _refilled_at: dict[str, float] = field(default_factory=dict)

    def earn(self, service: str, now: float) -> None:
        """Add the credit of one request."""
        credit = self._credit(service, now)
        self._credits[service] = credit + self.limits.ratio * SAFE_PART

    def try_spend(self, service: str, now: float) -> bool:
        """Take the credit for sending one request again."""
        credit = self._credit(service, now)
        if credit < 1:
            return False
        self._credits[service] = credit - 1
        return True

    def _credit(self, service: str, now: float) -> float:
        share = self.limits.allowance * SAFE_PART / max(1, self.entries)
        last = self._refilled_at.get(service)
        self._refilled_at[service] = now
        credit = self._credits.get(service, share / 2)
        if last is not None:
            credit += (now - last) * share / 2 / self.limits.window
        top = share / 2 + self.limits.ratio * 100
        return min(credit, top)
