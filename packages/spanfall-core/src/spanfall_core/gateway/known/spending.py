"""Count the units of a limit in a sliding window, in buckets of time."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import zip_longest
from math import floor, inf

#: Length of a bucket in seconds. Units leave the window when their whole
#: bucket has: up to this much late, and never early.
BUCKET_SECONDS = 0.1

Units = dict[str, float]
#: Units by age in whole seconds, youngest first.
ByAge = list[float]
#: Units, each with the time at which they were spent.
TimedUnits = list[tuple[float, float]]


@dataclass(slots=True)
class Spending:
    """Count units by the bucket in which they were spent."""

    spent: float = 0
    _buckets: dict[int, float] = field(default_factory=dict)
    #: First bucket that is still in the window.
    _first: float = -inf

    def add(self, units: float, at: float) -> None:
        """Add units spent at a time that may be past; negative ones cancel."""
        bucket = floor(at / BUCKET_SECONDS)
        if bucket < self._first:
            return
        self._buckets[bucket] = self._buckets.get(bucket, 0) + units
        self.spent += units

    def spend(self, units: float, window: float, now: float) -> None:
        """Add units spent now and drop the expired buckets.

        Dropping them here keeps a sum that is rarely read from growing.
        """
        self.recent(window, now)
        self.add(units, now)

    def recent(self, window: float, now: float) -> float:
        """Return the units spent in the window that ends now."""
        first = floor((now - window) / BUCKET_SECONDS)
        if first > self._first:
            self._first = first
            expired = [bucket for bucket in self._buckets if bucket < first]
            for bucket in expired:
                self.spent -= self._buckets.pop(bucket)
        return self.spent

    def is_in_window(self, at: float, window: float, now: float) -> bool:
        """Return whether units spent at a time are still in the window."""
        self.recent(window, now)
        return floor(at / BUCKET_SECONDS) >= self._first

    def rate(self, seconds: float, now: float) -> float:
        """Return the units per second over the last ``seconds``."""
        first = floor((now - seconds) / BUCKET_SECONDS)
        recent_units = (
            units for bucket, units in self._buckets.items() if bucket > first
        )
        return sum(recent_units) / seconds

    def by_age(self, now: float) -> ByAge:
        """Return the units by age; no age is overstated."""
        ages: dict[int, float] = {}
        for bucket, units in self._buckets.items():
            age = max(0, floor(now - (bucket + 1) * BUCKET_SECONDS))
            ages[age] = ages.get(age, 0) + units
        return [ages.get(age, 0) for age in range(max(ages, default=-1) + 1)]

    def recall(self, by_age: Sequence[float], reported_at: float) -> None:
        """Add units by the age that they had when they were reported."""
        for seconds, units in enumerate(by_age):
            if units:
                self.add(units, reported_at - seconds)


def sum_ages(rows: Iterable[ByAge]) -> ByAge:
    """Return the sum of units by age."""
    return [sum(units) for units in zip_longest(*rows, fillvalue=0)]
