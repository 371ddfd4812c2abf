"""Keep what runs at each upstream, here and at the other entries."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

#: Seconds in which the weight of a failure halves.
FAILURE_HALF_LIFE = 3.0
#: Most failures that count against an upstream at a time.
MOST_FAILURES = 8.0


@dataclass(slots=True)
class FailureScore:
    """Hold the recent failures of an upstream, fading with time."""

    score: float = 0
    noted_at: float = 0

    def value(self, now: float) -> float:
        """Return the failures that still count."""
        if not self.score:
            return 0
        passed = max(0, now - self.noted_at)
        return float(self.score * 0.5 ** (passed / FAILURE_HALF_LIFE))

    def add(self, failures: float, now: float) -> None:
        """Add failures seen now."""
        self.score = min(MOST_FAILURES, self.value(now) + failures)
        self.noted_at = now


@dataclass(slots=True)
class Loads:
    """Hold running requests, unread prompt tokens and failures."""

    running: Counter[str] = field(default_factory=Counter)
    prefill: Counter[str] = field(default_factory=Counter)
    failed: Counter[str] = field(default_factory=Counter)
    #: How often the counts of what runs have changed.
    changes: int = 0
    others_running: Mapping[str, int] = field(default_factory=dict)
    others_prefill: Mapping[str, int] = field(default_factory=dict)
    _failed_elsewhere: dict[str, int] | None = None
    _scores: dict[str, FailureScore] = field(default_factory=dict)

    def begin(self, upstream_id: str, prefill: int) -> None:
        """Count a request that is sent."""
        self.changes += 1
        self.running[upstream_id] += 1
        self.prefill[upstream_id] += prefill

    def first_token(self, upstream_id: str, prefill: int) -> None:
        """Count the prompt of a request as read."""
        self.changes += 1
        self.prefill[upstream_id] -= prefill

    def end(self, upstream_id: str) -> None:
        """Count a request as over."""
        self.changes += 1
        self.running[upstream_id] -= 1
        if not self.running[upstream_id]:
            self.running.pop(upstream_id)
            self.prefill.pop(upstream_id, None)

    def forget(self, upstream_id: str) -> None:
        """Drop the failures of an upstream that is gone."""
        self.failed.pop(upstream_id, None)
        self._scores.pop(upstream_id, None)

    def fail(self, upstream_id: str, now: float, weight: float = 1) -> None:
        """Count a failure against an upstream."""
        self.failed[upstream_id] += 1
        self._score(upstream_id).add(weight, now)

    def learn_failures(self, totals: Mapping[str, int], now: float) -> None:
        """Count the failures that other entries saw since the last table.

        The first table of a link only shows where the counts stand.
        """
        known = self._failed_elsewhere
        if known is not None:
            for upstream_id, total in totals.items():
                added = total - known.get(upstream_id, 0)
                if added > 0:
                    self._score(upstream_id).add(added, now)
        self._failed_elsewhere = dict(totals)

    def forget_others(self) -> None:
        """Start anew with the others, after a change of the home."""
        self._failed_elsewhere = None
        self.others_running = {}
        self.others_prefill = {}

    def running_at(self, upstream_id: str) -> int:
        """Return the requests that run at an upstream, fleet wide."""
        others = self.others_running.get(upstream_id, 0)
        return self.running[upstream_id] + max(0, others)

    def prefill_at(self, upstream_id: str) -> int:
        """Return the prompt tokens that an upstream has still to read."""
        others = self.others_prefill.get(upstream_id, 0)
        return max(0, self.prefill[upstream_id]) + max(0, others)

    def failures_at(self, upstream_id: str, now: float) -> float:
        """Return the recent failures of an upstream."""
        score = self._scores.get(upstream_id)
        return score.value(now) if score else 0

    def _score(self, upstream_id: str) -> FailureScore:
        return self._scores.setdefault(upstream_id, FailureScore())
