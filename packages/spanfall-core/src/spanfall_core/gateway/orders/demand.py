"""Tell how many engines the load of a service needs.

The load is what callers offer, not what waits: a jam looks like need, and
fewer streams behind a jam look like none.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from spanfall_core.gateway.known.configuration import EngineLimits
from spanfall_core.gateway.known.engine_model import PrefillSpeed

#: Part of an engine's slots that run with tokens in time.
GOOD_BATCH = 0.7
#: Part of an engine's time that may go into reading prompts.
GOOD_READING = 0.65
#: Seconds over which the load is averaged: a fraction of a boot time.
LOAD_SECONDS = 2.0
#: Seconds in which a past peak of the need halves.
PEAK_HALF_LIFE = 25.0
#: Seconds of load after which its peak stands for the need of a service: as
#: long as an upstream takes to boot.
LEARN_SECONDS = 4.0
#: Seconds without another upstream after which all are taken to be there:
#: they register within a heartbeat and a way of the store of each other.
REGISTER_SECONDS = 1.5
#: Need from which on a service counts as loaded.
LOADED = 0.2


@dataclass(frozen=True, slots=True)
class OfferedLoad:
    """State the load of one service."""

    #: Requests that run or wait.
    running: float = 0
    #: Work of reading that was sent a second, in tokens.
    work_rate: float = 0


def needed_upstreams(
    engine: EngineLimits,
    load: OfferedLoad,
    speed: PrefillSpeed,
    there: int,
) -> float:
    """Return the engines that a load keeps busy with answers in time.

    What waits beyond the slots of the engines that are there tells of a jam,
    not of a lasting need.
    """
    served = min(load.running, there * engine.slots)
    decoding = served / (engine.slots * GOOD_BATCH)
    return decoding + load.work_rate / (speed.rate * GOOD_READING)


def lost_to_limits(
    limits: Iterable[float],
    needed: float,
    requests_rate: float,
) -> float:
    """Return the upstreams that the limits of some of them cost.

    One that names a limit does the work of as much of an upstream as it takes
    of what the load gives to each. ``requests_rate`` are the requests a second
    that ``needed`` upstreams are to serve.
    """
    if not (needed and requests_rate):
        return 0
    each = requests_rate / needed
    return sum(1 - min(1, limit / each) for limit in limits)


@dataclass(slots=True)
class Demand:
    """Hold the need for upstreams of one service, as a fading peak."""

    peak: float = 0
    seen_at: float = 0
    #: Upstreams that were there before anything was ordered.
    found: int = 0
    #: When their number last grew.
    found_at: float = 0
    #: When load was first seen.
    loaded_since: float | None = None
    _average: float = 0

    def learn(self, needed: float, now: float) -> None:
        """Take a new measurement of the need."""
        passed = max(0, now - self.seen_at)
        part = min(1, passed / LOAD_SECONDS)
        self._average += part * (needed - self._average)
        faded = self.peak * 0.5 ** (passed / PEAK_HALF_LIFE)
        self.peak = max(self._average, faded)
        self.seen_at = now
        if self.loaded_since is None and needed >= LOADED:
            self.loaded_since = now

    def find(self, there: int, grown_at: float, now: float) -> None:
        """Note how many upstreams are there before anything is ordered.

        No load seen is not no load: until it was seen for a while, what the
        operator runs is the best guess of the need. ``grown_at`` is when the
        last of them was listed, which may be long before the operator's
        first configuration.
        """
        if there > self.found and not self.is_complete(now):
            self.found = there
            self.found_at = min(grown_at, now)

    def is_complete(self, now: float) -> bool:
        """Tell whether all that the operator runs have registered."""
        return self.found > 0 and now - self.found_at >= REGISTER_SECONDS

    def is_idle(self) -> bool:
        """Tell whether no load was ever seen."""
        return self.loaded_since is None

    def is_known(self, now: float) -> bool:
        """Tell whether the load was seen for long enough."""
        if self.loaded_since is None:
            return False
        return now - self.loaded_since >= LEARN_SECONDS

    def expected(self, now: float) -> float:
        """Return the upstreams that are to serve."""
        if self.is_known(now):
            return self.peak
        return max(self.peak, self.found)


def take_over(peak: float, now: float) -> Demand:
    """Return the demand as the home before told it, if it told any.

    Else a new home learns the need anew over some seconds, in which it orders
    half of what reclaimed upstreams leave to be replaced.
    """
    if peak < LOADED:
        return Demand()
    return Demand(peak, seen_at=now, loaded_since=now - LEARN_SECONDS)


@dataclass(slots=True)
class HeldMost:
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
