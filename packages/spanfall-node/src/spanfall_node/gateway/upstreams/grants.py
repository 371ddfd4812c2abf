"""Choose the upstream of each request: the home for all, or an entry alone.

The home knows what runs everywhere and which prompts were read where. An
entry that has no home, or waits too long for one, decides from its own
counts and the last table, so a silent home costs a bounded wait.
"""

import logging
from collections.abc import Sequence
from dataclasses import dataclass, field

from spanfall_core.gateway.crashes.crashes import Standing
from spanfall_core.gateway.known.directory import ListedUpstream
from spanfall_core.gateway.routing.balance import Choice, choose
from spanfall_core.gateway.routing.estimates import Ask
from spanfall_core.gateway.routing.grants import EntryLoad, FleetLoads, Grant

from spanfall_node.gateway.links.messages import (
    AskMessage,
    GrantMessage,
    GrantRequest,
)
from spanfall_node.gateway.links.questions import Questions, Send
from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)

#: Seconds that a request waits for the home's decision: some ways between
#: data centres, and far less than any target.
GRANT_SECONDS = 0.03
#: Seconds for which an entry decides alone after the home was too slow.
ALONE_SECONDS = 0.5

#: Standings of requests that are not sent without the home's grant.
WITHHELD = frozenset(
    (Standing.SUSPECT, Standing.HELD, Standing.QUARANTINED),
)
#: Of these, those that the home does not grant either.
NOT_SENT = frozenset((Standing.HELD, Standing.QUARANTINED))

#: Recent failures from which on an upstream is taken to fail.
FAILING = 1.0

#: Outcomes of a choice, as counted.
AS_HOME = 'as-home'
GRANTED = 'granted'
ALONE = 'alone'


def decide(
    state: GatewayState,
    entry: str,
    number: int,
    request: GrantRequest,
) -> GrantMessage:
    """Choose an upstream for an entry's request, as the home.

    A request that ends upstreams, or may have ended as many, gets none, and one
    that is suspect of it only where no other such request is tried.
    """
    now = state.timers.now()
    state.learn_own_load(now)
    standing = state.crashes.standing(request.ask.identity, now)
    if standing in NOT_SENT:
        return GrantMessage(number, standing=standing)
    candidates = state.directory.serving(request.service)
    if standing is Standing.SUSPECT:
        trials = state.crashes.trials
        identity = request.ask.identity
        if not trials.try_begin(request.service, identity, now):
            return GrantMessage(number, standing=standing)
    if standing is not Standing.FREE:
        candidates = _where_least_breaks(state, candidates, request, now)
    grant = _choose_as_home(state, entry, number, request, candidates)
    return GrantMessage(number, grant, standing)


def _where_least_breaks(
    state: GatewayState,
    candidates: Sequence[ListedUpstream],
    request: GrantRequest,
    now: float,
) -> Sequence[ListedUpstream]:
    """Return the upstream whose end would cost least, if one is left.

    Those that failed lately come last: few run there, and the request would
    learn nothing there.
    """
    tried = request.ask.tried
    running = state.grant_book.running

    def cost(row: ListedUpstream) -> tuple[bool, int]:
        failures = state.loads.failures_at(row.lifetime, now)
        return failures >= FAILING, running[row.lifetime]

    untried = [row for row in candidates if row.lifetime not in tried]
    return sorted(untried, key=cost)[:1]


def _choose_as_home(
    state: GatewayState,
    entry: str,
    number: int,
    request: GrantRequest,
    candidates: Sequence[ListedUpstream],
) -> Grant | None:
    now = state.timers.now()
    state.granted_prompts.learn(request.ask, now)
    choice = choose(
        candidates,
        request.ask,
        FleetLoads(state.grant_book, state.loads),
        state.granted_prompts,
        now,
    )
    if choice is None:
        return None
    lifetime = choice.upstream.lifetime
    prefixes = state.granted_prompts.prefixes
    prefixes.remember(lifetime, request.ask.parts)
    grant = Grant(number, lifetime, choice.prefill, choice.ahead)
    if entry != state.entry_key:
        # The home's own counts include its own grants at once.
        state.grant_book.grant(entry, grant)
    return grant


@dataclass(slots=True)
class Grants:
    """Ask the home over the link that the entry holds to it."""

    state: GatewayState
    _questions: Questions[GrantMessage] = field(default_factory=Questions)
    _alone_until: float = 0

    def connect(self, send: Send) -> None:
        """Ask over this link from now on."""
        self._questions.connect(send)

    def disconnect(self) -> None:
        """Decide alone until there is another link."""
        self._questions.disconnect()

    def learn(self, answer: GrantMessage) -> None:
        """Take the home's answer; one that comes too late is not used."""
        self._questions.learn(answer.number, answer)

    def load(self) -> EntryLoad:
        """Return what runs here and up to which grant that is known."""
        return self.state.own_load(self._questions.settled)

    async def choose(
        self,
        service: str,
        ask: Ask,
    ) -> Choice | Standing | None:
        """Return the upstream for a request, if any serves.

        Return its standing where it may not be sent, or not now. The caller
        counts the request at once, before it waits for anything.
        """
        state = self.state
        state.prompts.learn(ask, state.timers.now())
        if state.tenure is not None:
            state.counters.grants.labels(AS_HOME).inc()
            request = GrantRequest(service, ask)
            return self._outcome(decide(state, state.entry_key, 0, request))
        asks = self._questions.is_connected
        if asks and state.timers.now() >= self._alone_until:
            choice = await self._ask_home(service, ask)
            if choice is not None:
                state.counters.grants.labels(GRANTED).inc()
                return choice
        state.counters.grants.labels(ALONE).inc()
        return self._choose_alone(service, ask)

    async def _ask_home(
        self,
        service: str,
        ask: Ask,
    ) -> Choice | Standing | None:
        state = self.state
        request = GrantRequest(service, ask)
        question = await self._questions.ask(
            lambda number: AskMessage(
                state.entry_key,
                number,
                request,
                self.load(),
            ),
            GRANT_SECONDS,
        )
        if not question.is_answered:
            self._alone_until = state.timers.now() + ALONE_SECONDS
            logger.info(
                'The home granted nothing within %s s; deciding alone',
                GRANT_SECONDS,
            )
        if question.answer is None:
            return None
        return self._outcome(question.answer)

    def _outcome(self, answer: GrantMessage) -> Choice | Standing | None:
        """Return the granted choice unless this node knows better."""
        grant = answer.grant
        if grant is None:
            is_held = answer.standing in WITHHELD
            return answer.standing if is_held else None
        row = self.state.directory.rows.get(grant.lifetime)
        if row is None or not row.is_serving:
            return None
        is_watched = answer.standing is not Standing.FREE
        return Choice(row, 0, grant.prefill, grant.ahead, is_watched)

    def _choose_alone(
        self,
        service: str,
        ask: Ask,
    ) -> Choice | Standing | None:
        """Choose from what is known here; only the home tries suspects."""
        state = self.state
        standing = state.crashes.standing(ask.identity, state.timers.now())
        if standing in WITHHELD:
            return standing
        return choose(
            state.directory.serving(service),
            ask,
            state.loads,
            state.prompts,
            state.timers.now(),
        )
