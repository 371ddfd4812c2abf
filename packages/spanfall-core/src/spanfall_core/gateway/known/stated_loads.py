"""Represent the load that upstreams state with their answers.

Some upstreams share their host with others. They also state how much the host
slows their work at the moment.
"""

from dataclasses import dataclass


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
