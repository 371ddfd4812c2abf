"""Hold the requests of a service that wait for their turn.

Turns go to the most urgent level first, within it to the workspace with the
least work served for its weight, and within that to the request with the least
slack. All times are in seconds.
"""

from collections import Counter
from dataclasses import dataclass, field, replace
from heapq import heapify, heappop, heappush
from itertools import takewhile

from spanfall_core.gateway.contention.levels import Flow, Level
from spanfall_core.gateway.contention.slack import Position, Rank
from spanfall_core.gateway.contention.turns import TurnOrder
from spanfall_core.gateway.contention.waiting import AdmissionTerms, Asker

#: Maximum requests held for one service and for one of its workspaces.
MAX_HELD = 4096
MAX_HELD_PER_WORKSPACE = 1024
#: Seconds within which an entry has to take a turn: several round trips in one
#: region. After that the entry is taken to be gone or too slow.
TURN_SECONDS = 0.1
#: Seconds by which the deadline of a request differs between two of its asks,
#: by the time that they take.
DEADLINE_TOLERANCE_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class HeldRequest:
    """Describe one held request."""

    ticket: int
    asker: Asker
    terms: AdmissionTerms
    deadline_at: float


@dataclass(slots=True)
class GivenTurn:
    """Hold a turn until its entry takes it."""

    held: HeldRequest
    expires_at: float


@dataclass(slots=True)
class HeldQueue:
    """Hold the waiting requests of one service."""

    #: Minimum seconds that one run takes.
    least_run: float = 0
    order: TurnOrder = field(default_factory=TurnOrder)
    _last_ticket: int = 0
    _held: dict[int, HeldRequest] = field(default_factory=dict)
    _positions: dict[int, Position] = field(default_factory=dict)
    _given: dict[int, GivenTurn] = field(default_factory=dict)
    _by_entry: dict[str, set[int]] = field(default_factory=dict)
    _by_workspace: Counter[str] = field(default_factory=Counter)
    #: Deadlines by which requests are removed; those removed before are stale.
    _due: list[tuple[float, int]] = field(default_factory=list)

    def __len__(self) -> int:
        """Return the number of held requests whose turn was not given."""
        return len(self._held)

    @property
    def given(self) -> int:
        """Return the number of turns that were given and not taken."""
        return len(self._given)

    def is_full(self, workspace: str) -> bool:
        """Return whether no further request of a workspace can be held."""
        if len(self._held) >= MAX_HELD:
            return True
        return self._by_workspace[workspace] >= MAX_HELD_PER_WORKSPACE

    def hold(
        self,
        asker: Asker,
        terms: AdmissionTerms,
        now: float,
        rank: Rank = Rank.ON_TIME,
    ) -> HeldRequest:
        """Hold a request under a new ticket."""
        ticket = self._last_ticket + 1
        held = HeldRequest(
            ticket,
            asker,
            terms,
            now + terms.deadline_in,
        )
        self._held[ticket] = held
        self._by_entry.setdefault(asker.entry_key, set()).add(ticket)
        self._by_workspace[terms.workspace] += 1
        self._schedule_removal(held)
        position = self.next_position(terms, now, rank)
        self._positions[ticket] = position
        self.order.begin_waiting(terms.priority)
        level, flow = self.find_flow(terms)
        level.set_weight(flow, terms.weight)
        level.add(flow, position, terms.units)
        self._last_ticket = ticket
        return held

    def next_turn(self, now: float) -> HeldRequest | None:
        """Give the next turn and return the request that gets it, if any.

        The entry has to take it within ``TURN_SECONDS``.
        """
        held = self.peek(now)
        if held is not None:
            self.serve(held)
            self._given[held.ticket] = GivenTurn(held, now + TURN_SECONDS)
        return held

    def take(self, asker: Asker, ticket: int, now: float) -> bool:
        """Take a turn; return False if there is none or if it lapsed."""
        self.free_lapsed(now)
        turn = self._given.get(ticket)
        if turn is None or turn.held.asker != asker:
            return False
        self._given.pop(ticket)
        return True

    def serve(self, held: HeldRequest) -> None:
        """Remove a held request that is sent, and charge its workspace."""
        level, flow = self.find_flow(held.terms)
        level.charge(flow, held.terms.units)
        self.order.record_turn(held.terms.priority)
        self._remove(held)

    def record_arrival(self, terms: AdmissionTerms, now: float) -> None:
        """Count a request that others wait behind."""
        level, flow = self.find_flow(terms)
        level.arrivals.add(terms.units, now)
        flow.arrivals.add(terms.units, now)
        flow.arrived += terms.units

    def bring_forward(
        self, held: HeldRequest, terms: AdmissionTerms, now: float
    ) -> HeldRequest:
        """Apply a deadline that is earlier than when the request was held.

        It keeps its position. The entry of the request may be stopping.
        """
        deadline_at = now + terms.deadline_in
        if deadline_at >= held.deadline_at - DEADLINE_TOLERANCE_SECONDS:
            return held
        earlier = replace(held, terms=terms, deadline_at=deadline_at)
        self._held[held.ticket] = earlier
        self._schedule_removal(earlier)
        return earlier

    def withdraw(self, asker: Asker, ticket: int) -> bool:
        """Remove a request that is not to be sent; return whether it waited."""
        turn = self._given.get(ticket)
        if turn is not None and turn.held.asker == asker:
            self._lapse(ticket)
            return True
        held = self.find(asker, ticket)
        if held is not None:
            self._remove(held)
        return held is not None

    def drop_entry(self, entry_key: str) -> None:
        """Remove all requests of an entry that is gone."""
        given = [
            ticket
            for ticket, turn in self._given.items()
            if turn.held.asker.entry_key == entry_key
        ]
        for ticket in given:
            self._lapse(ticket)
        for waiting in tuple(self._by_entry.get(entry_key, ())):
            self._remove(self._held[waiting])

    def expired(self, now: float) -> list[HeldRequest]:
        """Remove and return the requests that can't make their deadline."""
        self.free_lapsed(now)
        removed = []
        while self._due and self._due[0][0] <= now + self.least_run:
            held = self._held.get(heappop(self._due)[1])
            if held is not None:
                self._remove(held)
                removed.append(held)
        return removed

    def find(self, asker: Asker, ticket: int) -> HeldRequest | None:
        """Return the request that an entry has waiting under a ticket."""
        held = self._held.get(ticket)
        if held is None or held.asker != asker:
            return None
        return held

    def waiting(self, ticket: int) -> HeldRequest | None:
        """Return the request that waits under a ticket, if any."""
        return self._held.get(ticket)

    def tickets(self) -> list[int]:
        """Return the tickets of all that wait, the latest first."""
        return list(reversed(self._held))

    def peek(self, now: float) -> HeldRequest | None:
        """Return the request that gets the next turn, if any waits."""
        priority = self.order.next_priority()
        if priority is None:
            return None
        flow = self.order.levels[priority].next_flow()
        if flow is None:
            return None
        flow.order.demote_missed(now + self.least_run, self._demoted)
        return self._held[flow.order.positions[0][-1]]

    def position(self, ticket: int) -> Position:
        """Return the position of a held request in its workspace."""
        return self._positions[ticket]

    def next_position(
        self, terms: AdmissionTerms, now: float, rank: Rank
    ) -> Position:
        """Return the position of a request that would be held now."""
        is_on_time = rank is Rank.ON_TIME
        due_in = terms.target_in if is_on_time else terms.deadline_in
        return rank, now + due_in, self._last_ticket + 1

    def find_flow(self, terms: AdmissionTerms) -> tuple[Level, Flow]:
        """Return the level and the flow that a request belongs to."""
        level = self.order.level(terms.priority)
        return level, level.flow(terms.workspace, terms.weight)

    def free_lapsed(self, now: float) -> None:
        """Free the turns that were not taken in time."""
        if not self._given:
            return
        lapsed = tuple(
            takewhile(
                lambda ticket: self._given[ticket].expires_at <= now,
                self._given,
            ),
        )
        for ticket in lapsed:
            self._lapse(ticket)

    def _lapse(self, ticket: int) -> None:
        """Free a turn and take back what its workspace was charged for it."""
        terms = self._given.pop(ticket).held.terms
        level, flow = self.find_flow(terms)
        level.refund(flow, terms.units)

    def _remove(self, held: HeldRequest) -> None:
        terms, entry_key = held.terms, held.asker.entry_key
        self._held.pop(held.ticket)
        level, flow = self.find_flow(terms)
        level.remove(flow, self._positions.pop(held.ticket))
        self.order.end_waiting(terms.priority)
        self._by_workspace[terms.workspace] -= 1
        if not self._by_workspace[terms.workspace]:
            self._by_workspace.pop(terms.workspace)
        self._by_entry[entry_key].discard(held.ticket)
        if not self._by_entry[entry_key]:
            self._by_entry.pop(entry_key)

    def _demoted(self, ticket: int) -> Position:
        """Return the position of a request that missed its target."""
        position = Rank.LATE, self._held[ticket].deadline_at, ticket
        self._positions[ticket] = position
        return position

    def _schedule_removal(self, held: HeldRequest) -> None:
        heappush(self._due, (held.deadline_at, held.ticket))
        if len(self._due) > 2 * len(self._held) + MAX_HELD_PER_WORKSPACE:
            self._due = [
                (one.deadline_at, one.ticket) for one in self._held.values()
            ]
            heapify(self._due)
