"""Estimate how often each data centre reclaims its upstreams."""

from collections import Counter
from dataclasses import dataclass, field

from spanfall_core.gateway.orders.orders import OrderKey, ServingCounts

#: Prior of the rate: a reclaim in ten minutes, known as well as if a data
#: centre had been observed for one minute.
PRIOR_RECLAIMS = 0.1
PRIOR_SECONDS = 60.0
#: Data centres whose reclaims are handed on to the next home: those with most.
MAX_HANDED_ON = 16
#: Fraction of the upstreams of a data centre that remains at most after a
#: reclaim. Single upstreams also fail by themselves, so that the only one counts
#: as reclaimed if it had a notice.
MAX_REMAINING_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class SeenReclaims:
    """State the reclaims that homes have seen, for the next one."""

    #: Seconds in which they were seen.
    seconds: float = 0
    counts: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class ReclaimHistory:
    """Count the reclaims that this home and those before it have observed."""

    observed_since: float | None = None
    counts: Counter[str] = field(default_factory=Counter)
    #: Most upstreams that served in each data centre since its last reclaim or
    #: since the last order for fewer.
    _served: Counter[str] = field(default_factory=Counter)
    #: Upstreams that remain after the last reclaim of each data centre. Its
    #: upstreams do not all leave at once, so that fewer of them are no new one.
    _remaining: dict[str, int] = field(default_factory=dict)

    def record(
        self,
        serving: ServingCounts,
        in_force: dict[OrderKey, int],
        now: float,
    ) -> list[str]:
        """Return the data centres whose upstreams were reclaimed since."""
        if self.observed_since is None:
            self.observed_since = now
        reclaimed = [
            data_centre
            for data_centre, served in self._served.items()
            if self._is_reclaimed(data_centre, served, serving, in_force)
        ]
        self.counts.update(reclaimed)
        for data_centre in self._served.keys() | serving.reclaimable.keys():
            present = serving.reclaimable[data_centre]
            ordered = in_force.get((data_centre, True), 0)
            remaining = self._remaining.get(data_centre, -1)
            if data_centre in reclaimed or present <= remaining:
                self._remaining[data_centre] = present
                self._served[data_centre] = 0
                continue
            self._remaining.pop(data_centre, None)
            served = min(self._served[data_centre], ordered)
            self._served[data_centre] = max(present, served)
        return reclaimed

    def seen(self, now: float) -> SeenReclaims:
        """Return what the next home continues with."""
        most = self.counts.most_common(MAX_HANDED_ON)
        return SeenReclaims(self._seconds(now), dict(most))

    def rate(self, data_centre: str, now: float) -> float:
        """Return the expected reclaims of a data centre per second."""
        return (PRIOR_RECLAIMS + self.counts[data_centre]) / (
            PRIOR_SECONDS + self._seconds(now)
        )

    def _seconds(self, now: float) -> float:
        since = self.observed_since
        return 0 if since is None else now - since

    def _is_reclaimed(
        self,
        data_centre: str,
        served: int,
        serving: ServingCounts,
        in_force: dict[OrderKey, int],
    ) -> bool:
        expected = min(served, in_force.get((data_centre, True), 0))
        if expected == 1 and not serving.noticed[data_centre]:
            return False
        remaining = serving.reclaimable[data_centre]
        return remaining < expected * MAX_REMAINING_FRACTION


def restore_reclaims(seen: SeenReclaims, now: float) -> ReclaimHistory:
    """Return the history that the previous home reported, if any.

    Without it, upstreams run again where they have just been reclaimed.
    """
    if not seen.counts:
        return ReclaimHistory()
    return ReclaimHistory(now - seen.seconds, Counter(seen.counts))
