"""Store the load that upstreams state with their answers.

Some upstreams share their host with others. They also state how much the host
slows their work at the moment.
"""

from dataclasses import dataclass, field

from spanfall_core.gateway.known.lifetimes import Lifetime

#: Maximum number of lifetimes kept; those with the oldest load go first.
MAX_LIFETIMES = 16_384


@dataclass(frozen=True, slots=True)
class StatedLoad:
    """Represent the load that one answer states."""

    running: int
    waiting: int
    slots: int
    #: Duration of work on this host at the moment, relative to the usual one;
    #: None if the upstream does not state it.
    slowdown: float | None = None


@dataclass(frozen=True, slots=True)
class InvalidLoad:
    """Hold the text of a stated load that cannot be parsed."""

    text: str


@dataclass(frozen=True, slots=True)
class ReceivedLoad:
    """Hold a stated load and when it was received."""

    load: StatedLoad
    received_at: float

    def age(self, now: float) -> float:
        """Return the seconds since the load was received."""
        return now - self.received_at


@dataclass(slots=True)
class StatedLoads:
    """Hold the newest load that each upstream stated to this node."""

    _loads: dict[Lifetime, ReceivedLoad] = field(default_factory=dict)

    def record(self, lifetime: Lifetime, load: StatedLoad, now: float) -> None:
        """Replace the load of an upstream by one that was just received."""
        self._loads.pop(lifetime, None)
        self._loads[lifetime] = ReceivedLoad(load, now)
        if len(self._loads) > MAX_LIFETIMES:
            self.forget(next(iter(self._loads)))

    def newest(self, lifetime: Lifetime) -> ReceivedLoad | None:
        """Return the newest load of an upstream, if it stated any."""
        return self._loads.get(lifetime)

    def forget(self, lifetime: Lifetime) -> None:
        """Drop the load of a lifetime that has ended."""
        self._loads.pop(lifetime, None)
