"""Find the held requests that are known not to make their deadline any more.

What was predicted as they arrived fails where upstreams are lost, or where a
burst of more urgent requests follows. All times are in seconds.
"""

from dataclasses import dataclass, field, replace
from math import inf
from typing import NamedTuple

from spanfall_core.gateway.contention.held import HeldQueue, HeldRequest
from spanfall_core.gateway.contention.prediction import predict
from spanfall_core.gateway.contention.room import ServiceRoom
from spanfall_core.gateway.contention.waiting import AdmissionTerms

#: Seconds from the end of one review to the next: less than callers notice.
REVIEW_SECONDS = 0.1
#: Requests that are reviewed at once, and seconds between two such batches, so
#: that reviews take a small part of the home's time also where many wait.
BATCH_SIZE = 32
BATCH_SECONDS = 0.02


class Arrived(NamedTuple):
    """State what a workspace had brought when a request was reviewed first."""

    at: float
    units: float


@dataclass(slots=True)
class Review:
    """Hold which requests of a service are still to be reviewed."""

    _due_at: float = -inf
    #: Tickets, the latest first.
    _left: list[int] = field(default_factory=list)
    #: By ticket; at most those of one review that have left since are stale.
    _first: dict[int, Arrived] = field(default_factory=dict)

    def take(self, queue: HeldQueue, now: float) -> list[HeldRequest]:
        """Return the requests to review now, in the order they arrived."""
        if now < self._due_at:
            return []
        if not self._left:
            self._left = queue.tickets()
            waiting = self._first.keys() & set(self._left)
            self._first = {one: self._first[one] for one in waiting}
        batch = self._left[-BATCH_SIZE:]
        del self._left[-BATCH_SIZE:]
        pause = BATCH_SECONDS if self._left else REVIEW_SECONDS
        self._due_at = now + pause
        found = (queue.waiting(ticket) for ticket in reversed(batch))
        reviewed = [held for held in found if held is not None]
        for held in reviewed:
            _, flow = queue.find_flow(held.terms)
            self._first.setdefault(held.ticket, Arrived(now, flow.arrived))
        return reviewed

    def arrivals_since(
        self, queue: HeldQueue, held: HeldRequest, now: float
    ) -> float:
        """Return the units a second that a workspace brings since a review.

        This shows whether the load goes on after a burst that a held request
        was part of. One more request may have come by chance.
        """
        first = self._first.get(held.ticket)
        if first is None or now <= first.at:
            return 0
        _, flow = queue.find_flow(held.terms)
        units = flow.arrived - first.units - held.terms.units
        return max(0, units) / (now - first.at)


def remove_hopeless(
    review: Review, room: ServiceRoom, queue: HeldQueue, now: float
) -> list[HeldRequest]:
    """Remove and return requests that are known to miss their deadline.

    They ask again, and are told when there will be room. What is removed no
    longer precedes those that arrived later.
    """
    removed = []
    for held in review.take(queue, now):
        arrivals = review.arrivals_since(queue, held, now)
        if _is_hopeless(held, room, queue, now, arrivals):
            queue.withdraw(held.asker, held.ticket)
            removed.append(held)
    return removed


def _is_hopeless(
    held: HeldRequest,
    room: ServiceRoom,
    queue: HeldQueue,
    now: float,
    arrivals: float,
) -> bool:
    """Return whether a held request is known to miss its deadline."""
    terms = _terms_left(held, now)
    position = queue.position(held.ticket)
    prediction = predict(queue, terms, room, now, position, arrivals)
    return prediction.start >= terms.deadline_in - room.least_run


def _terms_left(held: HeldRequest, now: float) -> AdmissionTerms:
    """Return the terms of a request with the time that it has left now."""
    terms = held.terms
    deadline_in = held.deadline_at - now
    passed = terms.deadline_in - deadline_in
    return replace(
        terms,
        target_in=terms.target_in - passed,
        deadline_in=deadline_in,
        ticket=held.ticket,
    )
