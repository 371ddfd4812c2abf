"""Choose each request's upstream: ask the home, or decide locally.

The home has the counts of the whole fleet and knows which upstream has read
which prompts. An entry that has no home, or gets no grant in time, decides
from its own counts and the last table, so an unresponsive home costs only a
bounded wait.
"""

import logging
from dataclasses import dataclass, field

from spanfall_core.gateway.contention.waiting import AdmissionTerms
from spanfall_core.gateway.crashes.standings import Standing
from spanfall_core.gateway.known.stream_origins import StreamKey
from spanfall_core.gateway.routing.balance import Choice, choose
from spanfall_core.gateway.routing.estimates import RoutingRequest
from spanfall_core.gateway.routing.grants import EntryLoad, RetryAfter

from spanfall_node.gateway.links.contention_messages import (
    HeldTicket,
    Rejection,
)
from spanfall_node.gateway.links.messages import (
    GrantMessage,
    GrantRequest,
    GrantRequestMessage,
)
from spanfall_node.gateway.links.pending_requests import PendingRequests, Send
from spanfall_node.gateway.tables.contention import HeldWait
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.admitting import (
    answer_request,
    reject_unservable,
)
from spanfall_node.gateway.upstreams.brittle_upstreams import (
    FULL_WAIT_SECONDS,
    full_for_entry,
    has_brittle,
    take_rejections,
)
from spanfall_node.gateway.upstreams.granting import (
    NO_HOME_RETRY_SECONDS,
    has_candidate,
    has_limited_candidate,
)
from spanfall_node.gateway.upstreams.speeds import loads_for

logger = logging.getLogger(__name__)

#: Seconds that a request waits for the home's grant: a few network delays
#: between data centres, and far less than any latency target.
GRANT_TIMEOUT_SECONDS = 0.03
#: Fraction of the time left to its latency target that a request waits for the
#: home while requests compete: a caller that is refused by then can still turn
#: elsewhere.
CONTENDED_WAIT_FRACTION = 0.125
#: Seconds for which an entry decides locally after a grant timed out, unless
#: requests compete.
LOCAL_DECISION_SECONDS = 0.5
#: Standings of requests that are sent only with the home's grant.
GRANT_REQUIRED = frozenset(
    (Standing.SUSPECT, Standing.HELD, Standing.QUARANTINED),
)
#: Result of a choice; None if no upstream can serve the request.
ChoiceOutcome = Choice | HeldWait | Rejection | RetryAfter | Standing | None

#: How a choice was made, used as metric labels.
AS_HOME = 'as-home'
GRANTED = 'granted'
DECIDED_LOCALLY = 'alone'


@dataclass(slots=True)
class GrantClient:
    """Choose upstreams with the home's grants or, without a home, locally."""

    state: GatewayState
    _pending: PendingRequests[GrantMessage | HeldWait] = field(
        default_factory=PendingRequests
    )
    _local_until: float = 0

    def connect(self, send: Send) -> None:
        """Request grants over this link from now on."""
        self._pending.connect(send)
        self.state.contention.find_home()

    def disconnect(self) -> None:
        """Decide locally until another link connects."""
        self._pending.disconnect()
        self.state.contention.lose_home()
        if self.state.tenure is not None:
            # This node has followed the home whose link ends.
            self.state.contention.find_home()

    def accept_answer(self, answer: GrantMessage) -> None:
        """Resolve a pending request; a late answer is ignored.

        A held request is added at once, as the message of its turn may follow
        before the request's task runs.
        """
        contention = self.state.contention
        now = self.state.timers.now()
        if answer.is_contended:
            contention.record_contended(now)
        if answer.held is None:
            self._pending.resolve(answer.number, answer)
            return
        wait = contention.held.add(answer.held, now)
        if not self._pending.resolve(answer.number, wait):
            contention.held.remove(wait.ticket)
            contention.withdraw(wait.ticket)

    def load(self) -> EntryLoad:
        """Return the local load and the last grant number that it includes."""
        return self.state.own_load(self._pending.last_settled)

    async def choose(
        self,
        service: str,
        routing_request: RoutingRequest,
        terms: AdmissionTerms | None = None,
        stream: tuple[StreamKey, float] | None = None,
    ) -> ChoiceOutcome:
        """Return the upstream for a request, if any can serve it.

        Return the request's standing if it may not be sent, or not now. With
        terms, it may be held or rejected instead. ``stream`` is the key of its
        stream and the seconds for which that may be resumed. The calling code
        has to count the request as running before it next waits.
        """
        state = self.state
        if terms is None or not terms.waited:
            now = state.timers.now()
            state.prompts.record_prompt(routing_request, now)
        request = GrantRequest(service, routing_request, terms, stream)
        if state.tenure is not None:
            state.counters.grants.labels(AS_HOME).inc()
            answer = answer_request(state, state.entry_key, 0, request)
            if answer.held is not None:
                now = state.timers.now()
                return state.contention.own_held.add(answer.held, now)
            return self._accept_grant(answer, routing_request)
        if self._should_ask():
            choice = await self._request_grant(request)
            if choice is not None:
                state.counters.grants.labels(GRANTED).inc()
                return choice
        state.counters.grants.labels(DECIDED_LOCALLY).inc()
        return self._decide_alone(request)

    def _should_ask(self) -> bool:
        now = self.state.timers.now()
        is_due = now >= self._local_until
        is_contended = self.state.contention.is_contended(now)
        return self._pending.is_connected and (is_due or is_contended)

    def _grant_timeout(self, request: GrantRequest) -> float:
        """Return the seconds for which a request waits for the home's answer.

        While requests compete, one that is sent without the home delays those
        whose turn it is, so it waits longer.
        """
        terms = request.terms
        is_contended = self.state.contention.is_contended(
            self.state.timers.now()
        )
        if terms is None or not is_contended:
            return GRANT_TIMEOUT_SECONDS
        wait = terms.target_in * CONTENDED_WAIT_FRACTION
        return max(GRANT_TIMEOUT_SECONDS, wait)

    def _decide_alone(self, request: GrantRequest) -> ChoiceOutcome:
        """Choose locally; reject what is known not to make its deadline.

        A request that is still held at the home is withdrawn.
        """
        state = self.state
        choice = self._choose_locally(request.service, request.ask)
        if request.terms is None:
            return choice
        if request.terms.ticket:
            identity, ticket = request.ask.identity, request.terms.ticket
            state.contention.withdraw(
                HeldTicket(request.service, identity, ticket)
            )
        return reject_unservable(state, request.terms, choice)

    async def _request_grant(self, request: GrantRequest) -> ChoiceOutcome:
        state = self.state
        seconds = self._grant_timeout(request)
        question = await self._pending.ask(
            lambda number: GrantRequestMessage(
                state.entry_key,
                number,
                request,
                self.load(),
                take_rejections(state),
            ),
            seconds,
        )
        if not question.is_answered:
            self._local_until = state.timers.now() + LOCAL_DECISION_SECONDS
            logger.info(
                'Home sent no grant within %.3g s; choosing upstreams locally',
                seconds,
            )
        answer = question.answer
        if answer is None or isinstance(answer, HeldWait):
            return answer
        return self._accept_grant(answer, request.ask)

    def _accept_grant(
        self, answer: GrantMessage, routing_request: RoutingRequest
    ) -> ChoiceOutcome:
        """Return the granted choice unless newer local state rules it out."""
        if answer.rejected is not None:
            return answer.rejected
        grant = answer.grant
        if grant is None:
            if answer.standing in GRANT_REQUIRED:
                return answer.standing
            return RetryAfter(answer.wait) if answer.wait else None
        row = self.state.directory.rows.get(grant.lifetime)
        if row is None or not row.is_serving:
            return None
        words = self.state.words
        is_limited = grant.lifetime in words.table.rates
        if is_limited and not grant.is_permit:
            # The home had not yet received the upstream's rate limit.
            return None
        backing_off = words.backoffs.active(self.state.timers.now())
        if grant.lifetime in backing_off or not routing_request.may_reach(row):
            return None
        is_watched = answer.standing is not Standing.FREE
        return Choice(
            row,
            0,
            grant.prefill,
            grant.ahead,
            is_watched,
            is_granted=True,
            is_trial=answer.standing is Standing.SUSPECT,
        )

    def _choose_locally(
        self,
        service: str,
        routing_request: RoutingRequest,
    ) -> ChoiceOutcome:
        """Choose an upstream from local state.

        Only the home puts suspect requests on trial and grants permits for
        rate-limited upstreams.
        """
        state = self.state
        now = state.timers.now()
        standing = state.crashes.standing_of(
            routing_request.identity, routing_request.parts, now
        )
        if standing in GRANT_REQUIRED:
            return standing
        words = state.words
        choice = choose(
            state.directory.serving(service),
            routing_request,
            loads_for(state, service, state.loads),
            state.prompts,
            now,
            words.table.rates.keys()
            | words.backoffs.active(now)
            | full_for_entry(state, service),
        )
        if choice is not None:
            return choice
        if not has_candidate(state, service, routing_request):
            return None
        if has_limited_candidate(state, service, routing_request):
            return RetryAfter(NO_HOME_RETRY_SECONDS)
        if has_brittle(state, service):
            return RetryAfter(FULL_WAIT_SECONDS)
        return None
