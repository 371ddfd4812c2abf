"""Tell how many engines the load of a service needs.

The load is what callers offer, not what waits: a jam looks like need, and
fewer streams behind a jam look like none.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from spanfall_core.gateway.known.configuration import EngineLimits
from spanfall_core.gateway.known.engine_model import ReadingSpeed

#: Part of an engine's slots that run with tokens in time.
TARGET_BATCH_UTILIZATION = 0.7
#: Part of an engine's time that may go into reading prompts.
TARGET_PREFILL_UTILIZATION = 0.65
#: Seconds over which the load is averaged: a fraction of a boot time.
LOAD_AVERAGE_SECONDS = 2.0
#: Seconds in which a past peak of the need halves.
PEAK_HALF_LIFE = 25.0
#: Seconds of load after which its peak stands for the need of a service: as
#: long as an upstream takes to boot.
MIN_OBSERVATION_SECONDS = 4.0
#: Seconds without another upstream after which all are taken to be there:
#: they register within a heartbeat and a way of the store of each other.
REGISTRATION_SETTLE_SECONDS = 1.5
#: Need from which on a service counts as loaded.
MIN_LOAD = 0.2


@dataclass(frozen=True, slots=True)
class OfferedLoad:
    """State the load of one service."""

    #: Requests that run or wait.
    running: float = 0
    #: Work of reading that was sent a second, in tokens.
    prefill_rate: float = 0


def needed_upstreams(
    engine: EngineLimits,
    load: OfferedLoad,
    speed: ReadingSpeed,
    present: int,
) -> float:
    """Return the engines that a load keeps busy with answers in time.

    What waits beyond the slots of the engines that are there tells of a jam,
    not of a lasting need.
    """
    served = min(load.running, present * engine.slots)
    decoding = served / (engine.slots * TARGET_BATCH_UTILIZATION)
    return decoding + load.prefill_rate / (
        speed.rate * TARGET_PREFILL_UTILIZATION
    )


def capacity_lost_to_limits(
    limits: Iterable[float],
    needed: float,
    request_rate: float,
) -> float:
    """Return the upstreams that the limits of some of them cost.

    One that names a limit does the work of as much of an upstream as it takes
    of what the load gives to each. ``requests_rate`` are the requests a second
    that ``needed`` upstreams are to serve.
    """
    if not (needed and request_rate):
        return 0
    per_upstream = request_rate / needed
    return sum(1 - min(1, limit / per_upstream) for limit in limits)


@dataclass(slots=True)
class Demand:
    """Hold the need for upstreams of one service, as a fading peak."""

    peak: float = 0
    updated_at: float = 0
    #: Upstreams that were there before anything was ordered.
    initial_count: int = 0
    #: When their number last grew.
    initial_count_at: float = 0
    #: When load was first seen.
    loaded_since: float | None = None
    _average: float = 0

    def learn(self, needed: float, now: float) -> None:
        """Take a new measurement of the need."""
        passed = max(0, now - self.updated_at)
        part = min(1, passed / LOAD_AVERAGE_SECONDS)
        self._average += part * (needed - self._average)
        faded = self.peak * 0.5 ** (passed / PEAK_HALF_LIFE)
        self.peak = max(self._average, faded)
        self.updated_at = now
        if self.loaded_since is None and needed >= MIN_LOAD:
            self.loaded_since = now

    def record_initial_count(
        self, present: int, grown_at: float, now: float
    ) -> None:
        """Note how many upstreams are there before anything is ordered.

        No load seen is not no load: until it was seen for a while, what the
        operator runs is the best guess of the need. ``grown_at`` is when the
        last of them was listed, which may be long before the operator's
        first configuration.
        """
        if present > self.initial_count and not self.is_registration_complete(
            now
        ):
            self.initial_count = present
            self.initial_count_at = min(grown_at, now)

    def is_registration_complete(self, now: float) -> bool:
        """Tell whether all that the operator runs have registered."""
        return (
            self.initial_count > 0
            and now - self.initial_count_at >= REGISTRATION_SETTLE_SECONDS
        )

    def is_idle(self) -> bool:
        """Tell whether no load was ever seen."""
        return self.loaded_since is None

    def is_known(self, now: float) -> bool:
        """Tell whether the load was seen for long enough."""
        if self.loaded_since is None:
            return False
        return now - self.loaded_since >= MIN_OBSERVATION_SECONDS

    def expected(self, now: float) -> float:
        """Return the upstreams that are to serve."""
        if self.is_known(now):
            return self.peak
        return max(self.peak, self.initial_count)


def restore_demand(peak: float, now: float) -> Demand:
    """Return the demand as the home before told it, if it told any.

    Else a new home learns the need anew over some seconds, in which it orders
    half of what reclaimed upstreams leave to be replaced.
    """
    if peak < MIN_LOAD:
        return Demand()
    return Demand(
        peak, updated_at=now, loaded_since=now - MIN_OBSERVATION_SECONDS
    )


@dataclass(slots=True)
class SlidingMaximum:
    """Hold the largest of the counts of the last seconds.

    A count that falls for a moment would send upstreams away that are wanted
    again before others have booted.
    """

    counts: dict[float, int] = field(default_factory=dict)

    def learn(self, count: int, seconds: float, now: float) -> int:
        """Take a count; return the largest of the last ``seconds``."""
        self.counts = {
            at: known
            for at, known in self.counts.items()
            if now - at < seconds and known > count
        }
        self.counts[now] = count
        return max(self.counts.values())
