"""Estimate how many engines the load of a service needs.

The load is what callers offer, not the queue: a backlog looks like lasting
need, and fewer running streams behind a backlog look like no need.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from spanfall_core.gateway.known.configuration import EngineLimits
from spanfall_core.gateway.known.engine_model import PrefillSpeed

#: Fraction of an engine's slots that may be busy with tokens still on time.
TARGET_BATCH_UTILIZATION = 0.7
#: Fraction of an engine's time that may be spent on prefill.
TARGET_PREFILL_UTILIZATION = 0.65
#: Time constant of the load average, in seconds: a fraction of a boot time.
LOAD_AVERAGE_SECONDS = 2.0
#: Half-life of a past peak of the need, in seconds.
PEAK_HALF_LIFE_SECONDS = 25.0
#: Seconds of observed load after which its peak is taken as the need of a
#: service: the time in which an upstream boots.
MIN_OBSERVATION_SECONDS = 4.0
#: Seconds without a new upstream after which all are taken to be registered:
#: they register within one heartbeat and one store delay of each other.
REGISTRATION_SETTLE_SECONDS = 1.5
#: Need, in upstreams, from which a service counts as loaded.
MIN_LOAD = 0.2


@dataclass(frozen=True, slots=True)
class OfferedLoad:
    """State the load that callers offer to one service."""

    #: Running and waiting requests.
    running: float = 0
    #: Prefill work that arrives, in tokens per second.
    prefill_rate: float = 0


def needed_upstreams(
    engine: EngineLimits,
    load: OfferedLoad,
    speed: PrefillSpeed,
    present: int,
) -> float:
    """Return the number of engines that serve a load with answers on time.

    Requests beyond the slots of the ``present`` engines are a backlog, not a
    lasting need, and are not counted.
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
    """Return the capacity, in upstreams, that rate limits of upstreams cost.

    An upstream with a limit counts as the fraction of its share of the load
    that the limit admits. ``request_rate`` is the number of requests per second
    that ``needed`` upstreams have to serve.
    """
    if not (needed and request_rate):
        return 0
    per_upstream = request_rate / needed
    return sum(1 - min(1, limit / per_upstream) for limit in limits)


@dataclass(slots=True)
class Demand:
    """Track the need for upstreams of one service as a decaying peak."""

    peak: float = 0
    updated_at: float = 0
    #: Number of upstreams that ran before the first order.
    initial_count: int = 0
    #: Time at which that number last grew.
    initial_count_at: float = 0
    #: Time at which load was first observed.
    loaded_since: float | None = None
    _average: float = 0

    def record_need(self, needed: float, now: float) -> None:
        """Add a measurement of the need to the average and the peak."""
        elapsed = max(0, now - self.updated_at)
        weight = min(1, elapsed / LOAD_AVERAGE_SECONDS)
        self._average += weight * (needed - self._average)
        decayed = self.peak * 0.5 ** (elapsed / PEAK_HALF_LIFE_SECONDS)
        self.peak = max(self._average, decayed)
        self.updated_at = now
        if self.loaded_since is None and needed >= MIN_LOAD:
            self.loaded_since = now

    def record_initial_count(
        self, present: int, grown_at: float, now: float
    ) -> None:
        """Record how many upstreams run before the first order.

        No observed load does not mean no load: until it was observed for some
        time, the number that the operator runs is the best estimate of the
        need. ``grown_at`` is the time at which the last of them was listed,
        which may be long before the operator's first configuration.
        """
        if present > self.initial_count and not self.is_registration_complete(
            now
        ):
            self.initial_count = present
            self.initial_count_at = min(grown_at, now)

    def is_registration_complete(self, now: float) -> bool:
        """Return whether all upstreams of the operator have registered."""
        return (
            self.initial_count > 0
            and now - self.initial_count_at >= REGISTRATION_SETTLE_SECONDS
        )

    def is_idle(self) -> bool:
        """Return whether no load was ever observed."""
        return self.loaded_since is None

    def is_measured(self, now: float) -> bool:
        """Return whether load was observed for long enough."""
        if self.loaded_since is None:
            return False
        return now - self.loaded_since >= MIN_OBSERVATION_SECONDS

    def expected(self, now: float) -> float:
        """Return the number of upstreams that should serve."""
        if self.is_measured(now):
            return self.peak
        return max(self.peak, self.initial_count)


def restore_demand(peak: float, now: float) -> Demand:
    """Return the demand that the previous home reported, if any.

    Without it, a new home measures the need from zero for some seconds, in
    which it replaces only half of the upstreams lost to a reclaim.
    """
    if peak < MIN_LOAD:
        return Demand()
    return Demand(
        peak, updated_at=now, loaded_since=now - MIN_OBSERVATION_SECONDS
    )


@dataclass(slots=True)
class SlidingMaximum:
    """Track the largest of the counts in a sliding window.

    Without it, a short dip of the count would stop upstreams that are needed
    again before replacements have booted.
    """

    counts: dict[float, int] = field(default_factory=dict)

    def update(self, count: int, seconds: float, now: float) -> int:
        """Add a count; return the largest one of the last ``seconds``."""
        self.counts = {
            at: known
            for at, known in self.counts.items()
            if now - at < seconds and known > count
        }
        self.counts[now] = count
        return max(self.counts.values())
