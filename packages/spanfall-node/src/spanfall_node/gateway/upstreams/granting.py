"""Grant, as the home, the upstream of each request of the fleet."""

from collections.abc import Sequence
from collections.abc import Set as AbstractSet

from spanfall_core.gateway.crashes.crashes import Standing
from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.routing.balance import choose
from spanfall_core.gateway.routing.estimates import RoutingRequest
from spanfall_core.gateway.routing.grants import FleetLoads, Grant

from spanfall_node.gateway.links.messages import GrantMessage, GrantRequest
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.tables.tenure import is_giver

#: Seconds after which a caller is to come back whose request only upstreams
#: with limits of their own could serve, while no home gives permits: most
#: homes that end are followed by then.
HOMELESS_SECONDS = 2.0

#: Standings of requests for which the home grants nothing.
NOT_SENT = frozenset((Standing.HELD, Standing.QUARANTINED))

#: Recent failures from which on an upstream is taken to fail.
FAILING = 1.0


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
    if not request.ask.tried:
        state.grant_book.first_attempts[request.service] += 1
    serving = state.directory.serving(request.service)
    withheld = _withheld(state, now)
    candidates = serving
    if standing is Standing.SUSPECT:
        trials = state.crashes.trials
        identity = request.ask.identity
        if not trials.try_begin(request.service, identity, now):
            return GrantMessage(number, standing=standing)
    if standing is not Standing.FREE:
        ask = request.ask
        closed = ask.tried | ask.avoided | withheld
        candidates = _where_least_breaks(state, serving, closed, now)
    grant = _choose_as_home(
        state,
        entry,
        number,
        request,
        candidates,
        withheld,
    )
    wait = 0.0
    if grant is None:
        wait = _wait(state, request, now)
    return GrantMessage(number, grant, standing, wait)


def _withheld(state: GatewayState, now: float) -> AbstractSet[Lifetime]:
    """Return the upstreams that get nothing now.

    What a home gives that is perhaps not the only one could pass a limit.
    """
    if is_giver(state.tenure, now):
        return state.words.permits.withheld(now)
    return state.words.table.rates.keys()


def _wait(state: GatewayState, request: GrantRequest, now: float) -> float:
    """Return when an upstream has room that has none by its own limit."""
    untried = is_any_limited(state, request.service, request.ask)
    if not untried:
        return 0
    if is_giver(state.tenure, now):
        rows = state.directory.serving(request.service)
        return state.words.permits.wait(request.service, rows, now)
    return HOMELESS_SECONDS


def is_any_limited(
    state: GatewayState, service: str, ask: RoutingRequest
) -> bool:
    """Tell whether room at an upstream with a limit would serve a request."""
    limited = state.words.table.rates
    closed = ask.tried | ask.avoided
    return bool(limited) and any(
        row.lifetime in limited and row.lifetime not in closed
        for row in state.directory.serving(service)
    )


def _where_least_breaks(
    state: GatewayState,
    candidates: Sequence[ListedUpstream],
    closed: AbstractSet[Lifetime],
    now: float,
) -> Sequence[ListedUpstream]:
    """Return the upstream whose end would cost least, if one is left.

    Those that failed lately come last: few run there, and the request would
    learn nothing there.
    """
    running = state.grant_book.running

    def cost(row: ListedUpstream) -> tuple[bool, int]:
        failures = state.loads.failures_at(row.lifetime, now)
        return failures >= FAILING, running[row.lifetime]

    left = [row for row in candidates if row.lifetime not in closed]
    return sorted(left, key=cost)[:1]


def _choose_as_home(
    state: GatewayState,
    entry: str,
    number: int,
    request: GrantRequest,
    candidates: Sequence[ListedUpstream],
    withheld: AbstractSet[Lifetime],
) -> Grant | None:
    now = state.timers.now()
    state.granted_prompts.record_prompt(request.ask, now)
    choice = choose(
        candidates,
        request.ask,
        FleetLoads(state.grant_book, state.loads),
        state.granted_prompts,
        now,
        withheld,
    )
    if choice is None:
        return None
    lifetime = choice.upstream.lifetime
    is_permit = state.words.permits.acquire(lifetime, now)
    prefixes = state.granted_prompts.prefixes
    prefixes.record(lifetime, request.ask.parts)
    grant = Grant(
        number,
        lifetime,
        choice.prefill,
        choice.ahead,
        is_permit,
    )
    if entry != state.entry_key:
        # The home's own counts include its own grants at once.
        state.grant_book.grant(entry, grant)
    return grant
