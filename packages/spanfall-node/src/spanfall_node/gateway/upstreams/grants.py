"""Choose the upstream of each request: ask the home, or decide alone.

The home knows what runs everywhere and which prompts were read where. An
entry that has no home, or waits too long for one, decides from its own
counts and the last table, so a silent home costs a bounded wait.
"""

import logging
from dataclasses import dataclass, field

from spanfall_core.gateway.crashes.crashes import Standing
from spanfall_core.gateway.routing.balance import Choice, choose
from spanfall_core.gateway.routing.estimates import Ask
from spanfall_core.gateway.routing.grants import ComeBack, EntryLoad

from spanfall_node.gateway.links.messages import (
    AskMessage,
    GrantMessage,
    GrantRequest,
)
from spanfall_node.gateway.links.questions import Questions, Send
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.granting import (
    NO_HOME_RETRY_SECONDS,
    decide_grant,
    has_limited_candidate,
)

logger = logging.getLogger(__name__)

#: Seconds that a request waits for the home's decision: some ways between
#: data centres, and far less than any target.
GRANT_TIMEOUT_SECONDS = 0.03
#: Seconds for which an entry decides alone after the home was too slow.
LOCAL_DECISION_SECONDS = 0.5
#: Standings of requests that are not sent without the home's grant.
GRANT_REQUIRED = frozenset(
    (Standing.SUSPECT, Standing.HELD, Standing.QUARANTINED),
)
#: What a choice leads to; None: no upstream serves.
ChoiceOutcome = Choice | ComeBack | Standing | None

#: Outcomes of a choice, as counted.
AS_HOME = 'as-home'
GRANTED = 'granted'
DECIDED_LOCALLY = 'alone'


@dataclass(slots=True)
class GrantClient:
    """Ask the home over the link that the entry holds to it."""

    state: GatewayState
    _questions: Questions[GrantMessage] = field(default_factory=Questions)
    _local_until: float = 0

    def connect(self, send: Send) -> None:
        """Ask over this link from now on."""
        self._questions.connect(send)

    def disconnect(self) -> None:
        """Decide alone until there is another link."""
        self._questions.disconnect()

    def accept_answer(self, answer: GrantMessage) -> None:
        """Take the home's answer; one that comes too late is not used."""
        self._questions.learn(answer.number, answer)

    def load(self) -> EntryLoad:
        """Return what runs here and up to which grant that is known."""
        return self.state.own_load(self._questions.settled)

    async def choose(
        self,
        service: str,
        ask: Ask,
    ) -> ChoiceOutcome:
        """Return the upstream for a request, if any serves.

        Return its standing where it may not be sent, or not now. The caller
        counts the request at once, before it waits for anything.
        """
        state = self.state
        state.prompts.learn(ask, state.timers.now())
        if state.tenure is not None:
            state.counters.grants.labels(AS_HOME).inc()
            request = GrantRequest(service, ask)
            return self._accept_grant(
                decide_grant(state, state.entry_key, 0, request)
            )
        can_ask = self._questions.is_connected
        if can_ask and state.timers.now() >= self._local_until:
            choice = await self._request_grant(service, ask)
            if choice is not None:
                state.counters.grants.labels(GRANTED).inc()
                return choice
        state.counters.grants.labels(DECIDED_LOCALLY).inc()
        return self._choose_locally(service, ask)

    async def _request_grant(
        self,
        service: str,
        ask: Ask,
    ) -> ChoiceOutcome:
        state = self.state
        request = GrantRequest(service, ask)
        question = await self._questions.ask(
            lambda number: AskMessage(
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
                'The home granted nothing within %s s; deciding alone',
                GRANT_TIMEOUT_SECONDS,
            )
        if question.answer is None:
            return None
        return self._accept_grant(question.answer)

    def _accept_grant(self, answer: GrantMessage) -> ChoiceOutcome:
        """Return the granted choice unless this node knows better."""
        grant = answer.grant
        if grant is None:
            if answer.standing in GRANT_REQUIRED:
                return answer.standing
            return ComeBack(answer.wait) if answer.wait else None
        row = self.state.directory.rows.get(grant.lifetime)
        if row is None or not row.is_serving:
            return None
        words = self.state.words
        is_limited = grant.lifetime in words.table.rates
        if is_limited and not grant.is_permit:
            # The home had not heard yet of the limit.
            return None
        if grant.lifetime in words.backoffs.active(self.state.timers.now()):
            return None
        is_watched = answer.standing is not Standing.FREE
        return Choice(row, 0, grant.prefill, grant.ahead, is_watched)

    def _choose_locally(
        self,
        service: str,
        ask: Ask,
    ) -> ChoiceOutcome:
        """Choose from what is known here.

        Only the home tries suspects, and gives permits for upstreams that
        name a limit.
        """
        state = self.state
        now = state.timers.now()
        standing = state.crashes.standing(ask.identity, now)
        if standing in GRANT_REQUIRED:
            return standing
        words = state.words
        choice = choose(
            state.directory.serving(service),
            ask,
            state.loads,
            state.prompts,
            now,
            words.table.rates.keys() | words.backoffs.active(now),
        )
        if choice is None and has_limited_candidate(state, service, ask):
            return ComeBack(NO_HOME_RETRY_SECONDS)
        return choice
