"""Hold the requests that wait for a turn, at their entry and at the home."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field, replace

import anyio
from spanfall_core.gateway.contention.admission import Contention
from spanfall_core.gateway.contention.held import HeldQueue
from spanfall_core.gateway.contention.room import ServiceRoom
from spanfall_core.gateway.contention.work_rate import WorkRate
from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.listed import ListedUpstream

from spanfall_node.gateway.links.contention_messages import (
    HeldTicket,
    HeldTurn,
)

#: Seconds after the home's last sign of contention during which an entry
#: reports ends of requests sooner than otherwise.
CONTENDED_SECONDS = 1.0


@dataclass(slots=True)
class HeldWait:
    """Hold one request of this entry that waits for its turn."""

    ticket: HeldTicket
    #: Seconds after which it asks again without a turn.
    seconds: float
    held_at: float
    #: Whether this node holds it as the home.
    is_own: bool = False
    #: Whether the home that issued the ticket is gone.
    is_lost: bool = False
    ended: anyio.Event = field(default_factory=anyio.Event)

    def end(self, *, is_lost: bool = False) -> None:
        """Let the request ask again."""
        self.is_lost = self.is_lost or is_lost
        self.ended.set()


@dataclass(slots=True)
class HeldRequests:
    """Hold the requests of this entry that wait at one home."""

    #: Whether this node itself is that home.
    is_own: bool = False
    _waits: dict[HeldTicket, HeldWait] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waits)

    def add(self, turn: HeldTurn, now: float) -> HeldWait:
        """Add a request that the home holds from now on."""
        wait = HeldWait(turn.ticket, turn.seconds, now, self.is_own)
        self._waits[turn.ticket] = wait
        return wait

    def remove(self, ticket: HeldTicket) -> None:
        """Remove a request that waits no longer."""
        self._waits.pop(ticket, None)

    def end(
        self, tickets: Iterable[HeldTicket], *, is_lost: bool = False
    ) -> None:
        """Let some requests ask again; those already gone are skipped."""
        for ticket in tickets:
            wait = self._waits.pop(ticket, None)
            if wait is not None:
                wait.end(is_lost=is_lost)

    def ask_again(self) -> None:
        """Let all requests ask their home again, as their terms change."""
        self.end(tuple(self._waits))

    def lose_all(self) -> None:
        """Let all requests ask the next home."""
        self.end(tuple(self._waits), is_lost=True)

    def longest_wait(self, now: float) -> float:
        """Return the seconds for which the longest held one has waited."""
        return max(
            (now - one.held_at for one in self._waits.values()), default=0
        )


#: Lifetime of an upstream and the requests that it runs at once.
Places = tuple[Lifetime, int]


@dataclass(slots=True)
class ContendedService:
    """Hold what the home knows of the competition for one service."""

    contention: Contention = field(default_factory=Contention)
    work_rate: WorkRate = field(default_factory=WorkRate)
    room: ServiceRoom | None = None
    #: Requests that each upstream with room may get.
    openings: dict[Lifetime, int] = field(default_factory=dict)
    #: When the room was computed, and the requests sent since.
    room_at: float = float('-inf')
    sent_since: int = 0
    #: When requests began to wait, and when any waited last.
    waiting_since: float | None = None
    last_waiting_at: float = float('-inf')
    #: Whether the last log line stated contention, and when it was written.
    is_logged: bool = False
    logged_at: float = float('-inf')
    #: Requests held and rejected since contention was logged.
    held_count: int = 0
    rejected_count: int = 0
    #: Requests rejected in this tenure.
    rejected_total: int = 0
    #: Upstreams of the service, as listed, and their places.
    _listed: Sequence[ListedUpstream] = ()
    _places: list[Places] = field(default_factory=list)

    @property
    def queue(self) -> HeldQueue:
        """Return the held requests of the service."""
        return self.contention.queue

    @property
    def is_contended(self) -> bool:
        """Return whether requests wait."""
        return self.waiting_since is not None

    def places_of(self, listed: Sequence[ListedUpstream]) -> list[Places]:
        """Return the places of the listed upstreams."""
        if self._listed is not listed:
            self._listed = listed
            self._places = [(row.lifetime, row.slots) for row in listed]
        return self._places

    def record_sent(self, units: float, now: float, lifetime: Lifetime) -> None:
        """Count a request that is sent to an upstream now."""
        self.work_rate.record_sent(units, now)
        left = self.openings.pop(lifetime, 0) - 1
        if left > 0:
            self.openings[lifetime] = left
        self.sent_since += 1
        room = self.room
        if room is not None:
            self.room = replace(room, free=room.free - 1, busy=room.busy + 1)

    def seconds_waiting(self, now: float) -> float:
        """Return the seconds for which requests have waited without a break."""
        return 0 if self.waiting_since is None else now - self.waiting_since

    def update_waiting(self, now: float) -> None:
        """Record whether requests wait now."""
        if not self.queue:
            self.waiting_since = None
            return
        self.last_waiting_at = now
        if self.waiting_since is None:
            self.waiting_since = now


@dataclass(slots=True)
class ContentionState:
    """Hold a node's part of the competition for upstreams."""

    #: On the home: the services for which requests compete.
    services: dict[str, ContendedService] = field(default_factory=dict)
    #: On the home: set while the turns of any service have to be looked after.
    has_work: anyio.Event = field(default_factory=anyio.Event)
    #: On the home: set and replaced when loads change.
    room_changed: anyio.Event = field(default_factory=anyio.Event)
    #: Requests of this entry held by the home, and by this node as the home.
    held: HeldRequests = field(default_factory=HeldRequests)
    own_held: HeldRequests = field(
        default_factory=lambda: HeldRequests(is_own=True)
    )
    #: Set while there is a home to ask; replaced when it is lost.
    home_found: anyio.Event = field(default_factory=anyio.Event)
    #: Tickets to withdraw at the home.
    withdrawn: list[HeldTicket] = field(default_factory=list)
    has_withdrawn: anyio.Event = field(default_factory=anyio.Event)
    #: Time until which this entry reports ends of requests sooner.
    _contended_until: float = float('-inf')

    def service(self, name: str) -> ContendedService:
        """Return the competition for a service, as the home."""
        return self.services.setdefault(name, ContendedService())

    def begin_tenure(self) -> None:
        """Begin with an empty order as the home."""
        self.end_tenure()
        self.find_home()

    def end_tenure(self) -> None:
        """Let the own held requests ask the next home."""
        self.services = {}
        self._await_home()
        self.own_held.lose_all()

    def find_home(self) -> None:
        """Let lost requests ask the home that was found."""
        self.withdrawn.clear()
        self.home_found.set()

    def lose_home(self) -> None:
        """Let the requests held by the home wait for the next one."""
        self._await_home()
        self.held.lose_all()

    def withdraw(self, ticket: HeldTicket) -> None:
        """Tell the home, with the next message, that a request is gone."""
        self.withdrawn.append(ticket)
        self.has_withdrawn.set()

    def take_withdrawn(self) -> tuple[HeldTicket, ...]:
        """Return the tickets to withdraw and begin a new list."""
        tickets = tuple(self.withdrawn)
        self.withdrawn.clear()
        self.has_withdrawn = anyio.Event()
        return tickets

    def notify_room_changed(self) -> None:
        """Wake the task that gives turns, if requests wait."""
        if self.has_work.is_set():
            self.room_changed.set()
            self.room_changed = anyio.Event()

    def record_contended(self, now: float) -> None:
        """Note that the home has signalled contention."""
        self._contended_until = now + CONTENDED_SECONDS

    def is_contended(self, now: float) -> bool:
        """Return whether ends of requests should be reported at once."""
        return now < self._contended_until

    def _await_home(self) -> None:
        if self.home_found.is_set():
            self.home_found = anyio.Event()

    def active_services(self) -> Iterator[tuple[str, ContendedService]]:
        """Yield the services whose turns have to be looked after."""
        return (
            (name, row)
            for name, row in self.services.items()
            if row.queue or row.is_logged
        )
