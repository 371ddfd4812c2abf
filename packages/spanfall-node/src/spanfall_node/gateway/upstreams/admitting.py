"""Decide, as the home, whether a request is sent, held or rejected."""

from collections.abc import Iterable

from msgspec.structs import replace
from spanfall_core.gateway.contention.admission import (
    Decision,
    Hold,
    Reject,
    RejectReason,
    decide,
    give_turn,
)
from spanfall_core.gateway.contention.held import HeldRequest
from spanfall_core.gateway.contention.review import remove_hopeless
from spanfall_core.gateway.contention.waiting import AdmissionTerms, Asker
from spanfall_core.gateway.crashes.standings import UNRESTRICTED, Standing
from spanfall_core.gateway.routing.balance import Choice
from spanfall_core.gateway.routing.grants import RetryAfter
from spanfall_core.reasons import RefusalReason

from spanfall_node.gateway.links.contention_messages import (
    HeldTicket,
    HeldTurn,
    Rejection,
)
from spanfall_node.gateway.links.messages import GrantMessage, GrantRequest
from spanfall_node.gateway.tables.contention import ContendedService
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.granting import decide_grant
from spanfall_node.gateway.upstreams.service_room import (
    current_room,
    upstreams_with_room,
)

#: Result of the choice of an entry that decides alone.
AloneOutcome = Choice | RetryAfter | Standing | None

REFUSAL_REASONS = {
    RejectReason.DEADLINE: RefusalReason.NO_ROOM,
    RejectReason.EARLY_RETURN: RefusalReason.EARLY_RETURN,
    RejectReason.QUEUE_FULL: RefusalReason.QUEUE_FULL,
}

KEPT = 'kept'
TOO_EARLY = 'too-early'


def answer_request(
    state: GatewayState,
    entry: str,
    number: int,
    request: GrantRequest,
) -> GrantMessage:
    """Answer an entry's request for an upstream, as the home.

    A request with terms competes for the room of its service, unless it was
    sent before or may crash upstreams.
    """
    now = state.timers.now()
    if not _is_competing(state, request, now):
        return _grant_without_turn(state, entry, number, request)
    state.record_own_load(now)
    row = state.contention.service(request.service)
    room = current_room(state, request.service, now)
    if not room.upstreams:
        return _grant_without_turn(state, entry, number, request)
    asker = Asker(entry, request.ask.identity)
    terms = request.terms
    _count_return(state, row, asker, terms, now)
    _withdraw_changed(row, asker, terms)
    decision = decide(asker, terms, room, row.contention, now)
    row.update_waiting(now)
    answer = _unsent(state, row, number, request, decision)
    if answer is None:
        with_room = upstreams_with_room(state, row)
        answer = decide_grant(state, entry, number, request, with_room)
        if answer.grant is not None:
            row.record_sent(terms.units, now, answer.grant.lifetime)
        if row.is_contended:
            answer = replace(answer, is_contended=True)
    return answer


def _is_competing(
    state: GatewayState, request: GrantRequest, now: float
) -> bool:
    if request.terms is None or request.ask.tried:
        return False
    if state.tenure is None or not state.tenure.may_order(now):
        return False
    ask = request.ask
    standing = state.crashes.standing_of(ask.identity, ask.parts, now)
    return standing in UNRESTRICTED


def _grant_without_turn(
    state: GatewayState,
    entry: str,
    number: int,
    request: GrantRequest,
) -> GrantMessage:
    """Answer a request that does not compete; it is held no longer."""
    terms = request.terms
    if terms is not None and terms.ticket:
        ticket = HeldTicket(request.service, request.ask.identity, terms.ticket)
        withdraw(state, entry, (ticket,))
    return decide_grant(state, entry, number, request)


def _unsent(
    state: GatewayState,
    row: ContendedService,
    number: int,
    request: GrantRequest,
    decision: Decision,
) -> GrantMessage | None:
    """Return the answer to a request that is not sent now."""
    match decision:
        case Hold():
            row.held_count += 1
            state.contention.has_work.set()
            ticket = HeldTicket(
                request.service, request.ask.identity, decision.ticket
            )
            held = HeldTurn(ticket, decision.seconds)
            return GrantMessage(number, held=held, is_contended=True)
        case Reject():
            row.rejected_count += 1
            row.rejected_total += 1
            state.grant_book.first_attempts[request.service] += 1
            reason = REFUSAL_REASONS[decision.reason]
            rejected = Rejection(decision.retry_after, reason)
            return GrantMessage(number, rejected=rejected, is_contended=True)
    return None


def _count_return(
    state: GatewayState,
    row: ContendedService,
    asker: Asker,
    terms: AdmissionTerms,
    now: float,
) -> None:
    """Count a caller that comes back after a rejection."""
    if terms.waited or terms.ticket:
        return
    returns = row.contention.returns
    if returns.is_expected(asker.identity, now):
        state.counters.scheduling.returns.labels(KEPT).inc()
    elif returns.seconds_early(asker.identity, now):
        state.counters.scheduling.returns.labels(TOO_EARLY).inc()


def _withdraw_changed(
    row: ContendedService, asker: Asker, terms: AdmissionTerms
) -> None:
    """Withdraw a held request that a new configuration orders differently."""
    held = row.queue.find(asker, terms.ticket)
    if held is None:
        return
    known = held.terms
    if (known.priority, known.weight) != (terms.priority, terms.weight):
        row.queue.withdraw(asker, terms.ticket)


def reject_unservable(
    state: GatewayState, terms: AdmissionTerms, choice: AloneOutcome
) -> AloneOutcome | Rejection:
    """Reject a request of an entry that decides alone, if it can't be served.

    That is known if the upstream that would serve it soonest is full and, by
    the counts of this entry, begins with it only after its deadline.
    """
    if not isinstance(choice, Choice):
        return choice
    running = state.loads.running_at(choice.upstream.lifetime)
    is_full = running >= choice.upstream.slots
    if is_full and choice.seconds > terms.deadline_in:
        return Rejection(choice.seconds, RefusalReason.NO_ROOM)
    return choice


def withdraw(
    state: GatewayState, entry: str, tickets: Iterable[HeldTicket]
) -> None:
    """Remove held requests of an entry that are not to be sent any more."""
    for ticket in tickets:
        row = state.contention.services.get(ticket.service)
        if row is not None:
            row.queue.withdraw(Asker(entry, ticket.identity), ticket.number)


def next_turns(
    state: GatewayState,
    service: str,
    now: float,
) -> list[HeldRequest]:
    """Return the held requests that are to ask again now, as the home.

    These are the ones that get a turn and those that are known not to make
    their deadline any more.
    """
    state.record_own_load(now)
    row = state.contention.service(service)
    chosen = row.queue.expired(now)
    room = current_room(state, service, now)
    review = row.contention.review
    chosen += remove_hopeless(review, room, row.queue, now)
    state.counters.scheduling.hopeless_holds.inc(len(chosen))
    while held := give_turn(room, row.queue, now):
        state.counters.scheduling.turns.inc()
        chosen.append(held)
    row.update_waiting(now)
    return chosen
