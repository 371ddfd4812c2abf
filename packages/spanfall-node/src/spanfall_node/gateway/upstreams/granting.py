"""Grant, as the home, the upstream of each request of the fleet."""

from collections.abc import Sequence
from collections.abc import Set as AbstractSet

from spanfall_core.gateway.crashes.crashes import Standing
from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.routing.balance import choose
from spanfall_core.gateway.routing.estimates import Ask
from spanfall_core.gateway.routing.grants import FleetLoads, Grant

from spanfall_node.gateway.links.messages import GrantMessage, GrantRequest
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.tables.tenure import is_giver

#: Seconds after which a caller is to come back whose request only upstreams
#: with limits of their own could serve, while no home gives permits: most
#: homes that end are followed by then.
NO_HOME_RETRY_SECONDS = 2.0

#: Standings of requests for which the home grants nothing.
UNGRANTED_STANDINGS = frozenset((Standing.HELD, Standing.QUARANTINED))

#: Recent failures from which on an upstream is taken to fail.
FAILING_THRESHOLD = 1.0


def decide_grant(
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
    if standing in UNGRANTED_STANDINGS:
        return GrantMessage(number, standing=standing)
    if not request.ask.tried:
        state.grant_book.asked[request.service] += 1
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
        excluded = ask.tried | ask.avoided | withheld
        candidates = _cheapest_to_crash(state, serving, excluded, now)
    grant = _choose_and_grant(
        state,
        entry,
        number,
        request,
        candidates,
        withheld,
    )
    wait = 0.0
    if grant is None:
        wait = _seconds_to_permit(state, request, now)
    return GrantMessage(number, grant, standing, wait)


def _withheld(state: GatewayState, now: float) -> AbstractSet[Lifetime]:
    """Return the upstreams that get nothing now.

    What a home gives that is perhaps not the only one could pass a limit.
    """
    if is_giver(state.tenure, now):
        return state.words.permits.withheld(now)
    return state.words.table.rates.keys()


def _seconds_to_permit(
    state: GatewayState, request: GrantRequest, now: float
) -> float:
    """Return when an upstream has room that has none by its own limit."""
    has_candidate = has_limited_candidate(state, request.service, request.ask)
    if not has_candidate:
        return 0
    if is_giver(state.tenure, now):
        rows = state.directory.serving(request.service)
        return state.words.permits.wait(request.service, rows, now)
    return NO_HOME_RETRY_SECONDS


def has_limited_candidate(state: GatewayState, service: str, ask: Ask) -> bool:
    """Tell whether room at an upstream with a limit would serve a request."""
    limited = state.words.table.rates
    excluded = ask.tried | ask.avoided
    return bool(limited) and any(
        row.lifetime in limited and row.lifetime not in excluded
        for row in state.directory.serving(service)
    )


def _cheapest_to_crash(
    state: GatewayState,
    candidates: Sequence[ListedUpstream],
    excluded: AbstractSet[Lifetime],
    now: float,
) -> Sequence[ListedUpstream]:
    """Return the upstream whose end would cost least, if one is left.

    Those that failed lately come last: few run there, and the request would
    learn nothing there.
    """
    running = state.grant_book.running

    def cost(row: ListedUpstream) -> tuple[bool, int]:
        failures = state.loads.failures_at(row.lifetime, now)
        return failures >= FAILING_THRESHOLD, running[row.lifetime]

    left = [row for row in candidates if row.lifetime not in excluded]
    return sorted(left, key=cost)[:1]


def _choose_and_grant(
    state: GatewayState,
    entry: str,
    number: int,
    request: GrantRequest,
    candidates: Sequence[ListedUpstream],
    withheld: AbstractSet[Lifetime],
) -> Grant | None:
    now = state.timers.now()
    state.granted_prompts.learn(request.ask, now)
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
    is_permit = state.words.permits.take(lifetime, now)
    prefixes = state.granted_prompts.prefixes
    prefixes.remember(lifetime, request.ask.parts)
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
