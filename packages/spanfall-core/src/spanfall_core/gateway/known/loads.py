"""Track the load of each upstream, from this entry and from the others."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from spanfall_core.gateway.known.lifetimes import Lifetime

#: Half-life of the weight of a failure, in seconds.
FAILURE_HALF_LIFE = 3.0
#: Maximum failure score of an upstream.
MAX_FAILURE_SCORE = 8.0


@dataclass(slots=True)
class FailureScore:
    """Sum the recent failures of an upstream, decaying over time."""

    score: float = 0
    updated_at: float = 0

    def value(self, now: float) -> float:
        """Return the current score."""
        if not self.score:
            return 0
        passed = max(0, now - self.updated_at)
        return float(self.score * 0.5 ** (passed / FAILURE_HALF_LIFE))

    def add(self, failures: float, now: float) -> None:
        """Add failures that occurred now."""
        self.score = min(MAX_FAILURE_SCORE, self.value(now) + failures)
        self.updated_at = now


@dataclass(slots=True)
class Loads:
    """Track running requests, pending prefill tokens and failures."""

    running: Counter[Lifetime] = field(default_factory=Counter)
    prefill: Counter[Lifetime] = field(default_factory=Counter)
    failed: Counter[Lifetime] = field(default_factory=Counter)
    #: Number of changes of the running and prefill counts.
    changes: int = 0
    others_running: Mapping[Lifetime, int] = field(default_factory=dict)
    others_prefill: Mapping[Lifetime, int] = field(default_factory=dict)
    _remote_failed: dict[Lifetime, int] | None = None
    _scores: dict[Lifetime, FailureScore] = field(default_factory=dict)

    def begin(self, lifetime: Lifetime, prefill: int) -> None:
        """Count a request that is sent."""
        self.changes += 1
        self.running[lifetime] += 1
        self.prefill[lifetime] += prefill

    def first_token(self, lifetime: Lifetime, prefill: int) -> None:
        """Mark the prefill of a request as complete."""
        self.changes += 1
        self.prefill[lifetime] -= prefill

    def end(self, lifetime: Lifetime) -> None:
        """Count a request as finished."""
        self.changes += 1
        self.running[lifetime] -= 1
        if not self.running[lifetime]:
            self.running.pop(lifetime)
            self.prefill.pop(lifetime, None)

    def forget(self, lifetime: Lifetime) -> None:
        """Drop the failures of an upstream that is gone."""
        self.failed.pop(lifetime, None)
        self._scores.pop(lifetime, None)

    def fail(self, lifetime: Lifetime, now: float, weight: float = 1) -> None:
        """Count a failure of an upstream."""
        self.failed[lifetime] += 1
        self._score(lifetime).add(weight, now)

    def add_remote_failures(
        self, totals: Mapping[Lifetime, int], now: float
    ) -> None:
        """Add the failures that other entries reported since the last table.

        The first table of a connection only sets the baseline.
        """
        known = self._remote_failed
        if known is not None:
            for lifetime, total in totals.items():
                added = total - known.get(lifetime, 0)
                if added > 0:
                    self._score(lifetime).add(added, now)
        self._remote_failed = dict(totals)

    def reset_others(self) -> None:
        """Reset the data of other entries after a change of the home."""
        self._remote_failed = None
        self.others_running = {}
        self.others_prefill = {}

    def running_at(self, lifetime: Lifetime) -> int:
        """Return the requests running at an upstream, fleet wide."""
        others = self.others_running.get(lifetime, 0)
        return self.running[lifetime] + max(0, others)

    def prefill_at(self, lifetime: Lifetime) -> int:
        """Return the tokens pending prefill at an upstream, fleet wide."""
        others = self.others_prefill.get(lifetime, 0)
        return max(0, self.prefill[lifetime]) + max(0, others)

    def failures_at(self, lifetime: Lifetime, now: float) -> float:
        """Return the failure score of an upstream."""
        score = self._scores.get(lifetime)
        return score.value(now) if score else 0

    def factor_at(self, lifetime: Lifetime, now: float) -> float:
        """Return 1: all upstreams are taken to be equally fast."""
        return 1

    def _score(self, lifetime: Lifetime) -> FailureScore:
        return self._scores.setdefault(lifetime, FailureScore())
