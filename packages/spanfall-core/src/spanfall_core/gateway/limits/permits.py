"""Let upstreams that name a limit get what they take, by permits.

Each request to such an upstream needs a permit, first sends and repeated ones
alike, and only the holder of the home's lease gives any, one with a grant. So
what all entries send is what one node gave: nothing is held in advance, and
an entry that hears no home sends nothing there.
"""

from collections.abc import Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from heapq import heappop, heappush

from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.listed import ListedUpstream

#: Permits that may be given at once after a pause, and the seconds of its rate
#: that an upstream may get at once besides.
BURST = 2.0
BURST_SECONDS = 0.5
#: Permits a second for an upstream that takes fewer, or none: its next answer
#: tells whether that still holds.
LEAST_RATE = 0.1
#: Longest time after which a caller that finds no room is to come back.
LONGEST_WAIT = 5.0
#: Part of a permit that rounding may lack.
ROUNDING = 1e-6
#: Seconds until the next look for room at the least: the steady clock of a host
#: that runs for long has no digits for less.
LEAST_LOOK = 0.001


@dataclass(slots=True)
class Room:
    """Hold the permits that one upstream leaves, growing with time.

    It begins with none: a home that begins, and an upstream that has just
    named its limit, have what was sent before behind them, and nobody has to
    know how much that was.
    """

    rate: float
    at: float
    level: float = 0

    def refill(self, now: float) -> None:
        """Add what has grown until now."""
        most = BURST + self.rate * BURST_SECONDS
        grown = self.level + self.rate * max(0, now - self.at)
        self.level = min(most, grown)
        self.at = max(self.at, now)

    @property
    def is_full(self) -> bool:
        """Tell whether there is no permit to give."""
        return self.level < 1 - ROUNDING

    @property
    def free_at(self) -> float:
        """Return when there is one."""
        return self.at + max(LEAST_LOOK, (1 - self.level) / self.rate)


@dataclass(slots=True)
class Turns:
    """Hold who of a service's callers may come back when."""

    rows: Sequence[ListedUpstream] = ()
    #: Version of the rates that it rests on.
    version: int = 0
    #: Permits a second of all its upstreams.
    rate: float = 0
    #: Turn of the caller that was told last.
    last: float = float('-inf')


@dataclass(slots=True)
class Permits:
    """Hold the room at each upstream that names a limit."""

    _rooms: dict[Lifetime, Room] = field(default_factory=dict)
    _full: set[Lifetime] = field(default_factory=set)
    #: When room is to be looked for again at one that was full.
    _due: list[tuple[float, Lifetime]] = field(default_factory=list)
    _turns: dict[str, Turns] = field(default_factory=dict)
    #: Grows with each change of a rate.
    _version: int = 0

    def follow(
        self,
        lifetime: Lifetime,
        rate: float | None,
        now: float,
    ) -> None:
        """Take another rate of an upstream; None: it names no limit."""
        self._version += 1
        if rate is None:
            self._rooms.pop(lifetime, None)
            self._full.discard(lifetime)
            return
        room = self._rooms.setdefault(lifetime, Room(LEAST_RATE, now))
        room.refill(now)
        room.rate = max(LEAST_RATE, rate)
        room.refill(now)
        self._note(lifetime, room)

    def withheld(self, now: float) -> AbstractSet[Lifetime]:
        """Return the upstreams that may get nothing now."""
        while self._due and self._due[0][0] <= now:
            _, lifetime = heappop(self._due)
            room = self._rooms.get(lifetime)
            if room is not None and lifetime in self._full:
                room.refill(now)
                self._note(lifetime, room)
        return self._full

    def take(self, lifetime: Lifetime, now: float) -> bool:
        """Give a permit; False: the upstream needs none."""
        room = self._rooms.get(lifetime)
        if room is None:
            return False
        room.refill(now)
        room.level -= 1
        self._note(lifetime, room)
        return True

    def wait(
        self,
        service: str,
        rows: Sequence[ListedUpstream],
        now: float,
    ) -> float:
        """Return the seconds after which a caller's turn comes.

        Callers that find no room come back one after the other, as room comes
        free. 0: no upstream of the service names a limit.
        """
        turns = self._turns.setdefault(service, Turns())
        if turns.rows is not rows or turns.version != self._version:
            turns.rows = rows
            turns.version = self._version
            turns.rate = self._rate_of(rows)
        if not turns.rate:
            return 0
        last = max(now, turns.last) + 1 / turns.rate
        turns.last = min(last, now + LONGEST_WAIT)
        return turns.last - now

    def _rate_of(self, rows: Sequence[ListedUpstream]) -> float:
        rooms = (self._rooms.get(row.lifetime) for row in rows)
        return sum(room.rate for room in rooms if room is not None)

    def _note(self, lifetime: Lifetime, room: Room) -> None:
        """Note whether there is room; look again when some comes free."""
        if room.is_full:
            self._full.add(lifetime)
            heappush(self._due, (room.free_at, lifetime))
        else:
            self._full.discard(lifetime)
