"""Choose each request's upstream: ask the home, or decide locally.

The home has the counts of the whole fleet and knows which upstream has read
which prompts. An entry that has no home, or gets no grant in time, decides
from its own counts and the last table, so an unresponsive home costs only a
bounded wait.
"""

import logging
from dataclasses import dataclass, field

from spanfall_core.gateway.crashes.crashes import Standing
from spanfall_core.gateway.routing.balance import Choice, choose
from spanfall_core.gateway.routing.estimates import RoutingRequest
from spanfall_core.gateway.routing.grants import EntryLoad, RetryAfter

from spanfall_node.gateway.links.messages import (
    GrantMessage,
    GrantRequest,
    GrantRequestMessage,
)
from spanfall_node.gateway.links.pending_requests import PendingRequests, Send
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.granting import (
    NO_HOME_RETRY_SECONDS,
    decide_grant,
    has_limited_candidate,
)
from spanfall_node.gateway.upstreams.speeds import loads_for

logger = logging.getLogger(__name__)

#: Seconds that a request waits for the home's grant: a few network delays
#: between data centres, and far less than any latency target.
GRANT_TIMEOUT_SECONDS = 0.03
#: Seconds for which an entry decides locally after a grant timed out.
LOCAL_DECISION_SECONDS = 0.5
#: Standings of requests that are sent only with the home's grant.
GRANT_REQUIRED = frozenset(
    (Standing.SUSPECT, Standing.HELD, Standing.QUARANTINED),
)
#: Result of a choice; None if no upstream can serve the request.
ChoiceOutcome = Choice | RetryAfter | Standing | None

#: How a choice was made, used as metric labels.
AS_HOME = 'as-home'
GRANTED = 'granted'
DECIDED_LOCALLY = 'alone'


@dataclass(slots=True)
class GrantClient:
    """Choose upstreams with the home's grants or, without a home, locally."""

    state: GatewayState
    _pending: PendingRequests[GrantMessage] = field(
        default_factory=PendingRequests
    )
    _local_until: float = 0

    def connect(self, send: Send) -> None:
        """Request grants over this link from now on."""
        self._pending.connect(send)

    def disconnect(self) -> None:
        """Decide locally until another link connects."""
        self._pending.disconnect()

    def accept_answer(self, answer: GrantMessage) -> None:
        """Resolve a pending request; a late answer is ignored."""
        self._pending.resolve(answer.number, answer)

    def load(self) -> EntryLoad:
        """Return the local load and the last grant number that it includes."""
        return self.state.own_load(self._pending.last_settled)

    async def choose(
        self,
        service: str,
        routing_request: RoutingRequest,
    ) -> ChoiceOutcome:
        """Return the upstream for a request, if any can serve it.

        Return the request's standing if it may not be sent, or not now. The
        calling code has to count the request as running before it next waits.
        """
        state = self.state
        state.prompts.record_prompt(routing_request, state.timers.now())
        if state.tenure is not None:
            state.counters.grants.labels(AS_HOME).inc()
            request = GrantRequest(service, routing_request)
            return self._accept_grant(
                decide_grant(state, state.entry_key, 0, request)
            )
        can_ask = self._pending.is_connected
        if can_ask and state.timers.now() >= self._local_until:
            choice = await self._request_grant(service, routing_request)
            if choice is not None:
                state.counters.grants.labels(GRANTED).inc()
                return choice
        state.counters.grants.labels(DECIDED_LOCALLY).inc()
        return self._choose_locally(service, routing_request)

    async def _request_grant(
        self,
        service: str,
        routing_request: RoutingRequest,
    ) -> ChoiceOutcome:
        state = self.state
        request = GrantRequest(service, routing_request)
        question = await self._pending.ask(
            lambda number: GrantRequestMessage(
                state.entry_key,
                number,
                request,
                self.load(),
            ),
            GRANT_TIMEOUT_SECONDS,
        )
        if not question.is_answered:
            self._local_until = state.timers.now() + LOCAL_DECISION_SECONDS
            logger.info(
                'Home sent no grant within %s s; choosing upstreams locally',
                GRANT_TIMEOUT_SECONDS,
            )
        if question.answer is None:
            return None
        return self._accept_grant(question.answer)

    def _accept_grant(self, answer: GrantMessage) -> ChoiceOutcome:
        """Return the granted choice unless newer local state rules it out."""
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
        if grant.lifetime in words.backoffs.active(self.state.timers.now()):
            return None
        is_watched = answer.standing is not Standing.FREE
        return Choice(row, 0, grant.prefill, grant.ahead, is_watched)

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
        standing = state.crashes.standing(routing_request.identity, now)
        if standing in GRANT_REQUIRED:
            return standing
        words = state.words
        choice = choose(
            state.directory.serving(service),
            routing_request,
            loads_for(state, service, state.loads),
            state.prompts,
            now,
            words.table.rates.keys() | words.backoffs.active(now),
        )
        if choice is None and has_limited_candidate(
            state, service, routing_request
        ):
            return RetryAfter(NO_HOME_RETRY_SECONDS)
        return choice
