"""Tell which connections give way to others, by what they are doing."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum, unique
from itertools import chain
from typing import Generic, TypeVar

Key = TypeVar('Key')


@unique
class Phase(StrEnum):
    """Name what a connection of a client is doing."""

    #: No byte of a request has arrived.
    IDLE = 'idle'
    #: The node reads the head of a request.
    HEAD = 'head'
    #: The node reads the body of a request.
    BODY = 'body'
    #: The node waits for an upstream, or has not decided yet.
    SERVING = 'serving'
    #: The client takes less of its answer than it could have.
    WRITING = 'writing'
    #: The client has its answer and is to close the connection.
    CLOSING = 'closing'


#: Phases in the order in which connections give way: those in which a client
#: loses nothing that it could not send again.
YIELDING = (Phase.CLOSING, Phase.IDLE)


@dataclass(slots=True)
class Phases(Generic[Key]):
    """Hold the phase of each connection, and since when it is in it."""

    _since: dict[Phase, dict[Key, float]] = field(
        default_factory=lambda: {phase: {} for phase in Phase}
    )
    _phases: dict[Key, Phase] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._phases)

    def enter(self, key: Key, phase: Phase, now: float) -> None:
        """Add a connection, or let it enter another phase."""
        self.remove(key)
        self._phases[key] = phase
        self._since[phase][key] = now

    def remove(self, key: Key) -> None:
        """Remove a connection that has ended."""
        phase = self._phases.pop(key, None)
        if phase is not None:
            self._since[phase].pop(key)

    def oldest(self, phase: Phase) -> Iterator[Key]:
        """Yield the connections in a phase, the longest in it first."""
        yield from self._since[phase]

    def first_idle(self) -> Key | None:
        """Return the connection whose client loses least by its end, if any."""
        yielding = chain.from_iterable(map(self.oldest, YIELDING))
        return next(yielding, None)
