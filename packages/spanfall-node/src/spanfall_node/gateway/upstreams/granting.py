"""Grant an upstream, as the home, to each request of the fleet."""

from collections.abc import Iterable, Sequence
from collections.abc import Set as AbstractSet

from spanfall_core.gateway.crashes.standings import UNRESTRICTED, Standing
from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.routing.balance import Choice, choose
from spanfall_core.gateway.routing.estimates import RoutingRequest
from spanfall_core.gateway.routing.grants import FleetLoads, Grant
from spanfall_core.gateway.routing.room_choice import choose_with_room

from spanfall_node.gateway.links.messages import GrantMessage, GrantRequest
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.tables.tenure import can_allocate
from spanfall_node.gateway.upstreams.brittle_upstreams import (
    FULL_WAIT_SECONDS,
    full_for_fleet,
    has_brittle,
)
from spanfall_node.gateway.upstreams.prefix_copies import (
    record_choice,
    tracked_heat,
)
from spanfall_node.gateway.upstreams.speeds import loads_for
from spanfall_node.gateway.upstreams.stream_lookup import record_grant

#: Retry-After seconds for a request that only rate-limited upstreams could
#: serve while no home grants permits: by then most failed homes have a
#: successor.
NO_HOME_RETRY_SECONDS = 2.0

#: Standings with which the home grants a request no upstream.
UNGRANTED_STANDINGS = frozenset((Standing.HELD, Standing.QUARANTINED))

#: Recent failures from which on an upstream counts as failing.
FAILING_THRESHOLD = 1.0


def decide_grant(
    state: GatewayState,
    entry: str,
    number: int,
    request: GrantRequest,
    with_room: Iterable[ListedUpstream] | None = None,
) -> GrantMessage:
    """Choose an upstream for an entry's request, as the home.

    If the request competes with others and the best one is full, one of those
    ``with_room`` serves it. A request that crashes upstreams, or may have
    crashed as many, gets none. A suspect request gets one only while no other
    suspect is on trial.
    """
    now = state.timers.now()
    state.record_own_load(now)
    ask = request.ask
    standing = state.crashes.standing_of(ask.identity, ask.parts, now)
    if standing is Standing.OBSERVED and not state.crashes.observes(
        request.service, now
    ):
        standing = Standing.FREE
    if standing in UNGRANTED_STANDINGS:
        return GrantMessage(number, standing=standing)
    if not request.ask.tried:
        state.grant_book.first_attempts[request.service] += 1
    serving = state.directory.serving(request.service)
    withheld = withheld_upstreams(state, request.service, now)
    if with_room is not None:
        withheld = withheld | state.words.fleet_backoffs.active(now)
    candidates = serving
    if standing is Standing.SUSPECT:
        trials = state.crashes.trials
        if not trials.try_begin(request.service, ask.identity, now):
            return GrantMessage(number, standing=standing)
    if standing not in UNRESTRICTED:
        allowed = [
            row
            for row in serving
            if request.ask.allows(row) and row.lifetime not in withheld
        ]
        candidates = _cheapest_to_crash(state, allowed, now)
    state.granted_prompts.record_prompt(request.ask, now)
    choice = _choose(state, request, candidates, withheld, with_room or ())
    grant = None
    if choice is not None:
        grant = _grant(state, entry, number, request, choice)
    wait = 0.0
    if grant is None:
        wait = _seconds_to_permit(state, request, now)
    if standing is Standing.OBSERVED:
        # Entries report either; nodes of an earlier version know only this one.
        standing = Standing.WATCHED
    return GrantMessage(number, grant, standing, wait)


def withheld_upstreams(
    state: GatewayState, service: str, now: float
) -> AbstractSet[Lifetime]:
    """Return the upstreams of a service that get no requests now.

    A home that may not be the only one withholds all rate-limited upstreams:
    permits from two homes could together exceed a limit.
    """
    limited: AbstractSet[Lifetime] = state.words.table.rates.keys()
    if can_allocate(state.tenure, now):
        limited = state.words.permits.withheld(now)
    return limited | full_for_fleet(state, service, now)


def _seconds_to_permit(
    state: GatewayState, request: GrantRequest, now: float
) -> float:
    """Return the seconds to a permit of a rate-limited upstream, or 0."""
    if not has_candidate(state, request.service, request.ask):
        return 0
    if not has_limited_candidate(state, request.service, request.ask):
        is_full = has_brittle(state, request.service)
        return FULL_WAIT_SECONDS if is_full else 0
    if can_allocate(state.tenure, now):
        rows = state.directory.serving(request.service)
        return state.words.permits.wait(request.service, rows, now)
    return NO_HOME_RETRY_SECONDS


def has_candidate(
    state: GatewayState, service: str, routing_request: RoutingRequest
) -> bool:
    """Tell whether any upstream could serve a request, now or later."""
    rows = state.directory.serving(service)
    return any(map(routing_request.may_reach, rows))


def has_limited_candidate(
    state: GatewayState, service: str, routing_request: RoutingRequest
) -> bool:
    """Tell whether a rate-limited upstream could serve a request."""
    limited = state.words.table.rates
    return bool(limited) and any(
        row.lifetime in limited and routing_request.allows(row)
        for row in state.directory.serving(service)
    )


def _cheapest_to_crash(
    state: GatewayState,
    candidates: Sequence[ListedUpstream],
    now: float,
) -> Sequence[ListedUpstream]:
    """Return the upstream whose crash would cost least, if there is one.

    Those that failed recently come last: they run few requests, and a trial
    there would show nothing about the request.
    """
    running = state.grant_book.running

    def cost(row: ListedUpstream) -> tuple[bool, int]:
        failures = state.loads.failures_at(row.lifetime, now)
        return failures >= FAILING_THRESHOLD, running[row.lifetime]

    return sorted(candidates, key=cost)[:1]


def _choose(
    state: GatewayState,
    request: GrantRequest,
    candidates: Sequence[ListedUpstream],
    withheld: AbstractSet[Lifetime],
    with_room: Iterable[ListedUpstream],
) -> Choice | None:
    now = state.timers.now()
    loads = loads_for(
        state, request.service, FleetLoads(state.grant_book, state.loads)
    )

    def choose_among(rows: Sequence[ListedUpstream]) -> Choice | None:
        return choose(
            rows, request.ask, loads, state.granted_prompts, now, withheld
        )

    return choose_with_room(choose_among, candidates, with_room, loads)


def _grant(
    state: GatewayState,
    entry: str,
    number: int,
    request: GrantRequest,
    choice: Choice,
) -> Grant:
    """Grant the chosen upstream and count the request there."""
    lifetime = choice.upstream.lifetime
    is_permit = state.words.permits.acquire(lifetime, state.timers.now())
    heat = tracked_heat(state, request.service)
    if heat is not None:
        record_choice(state, heat, request.ask, choice)
    prefixes = state.granted_prompts.prefixes
    prefixes.record(lifetime, request.ask.parts)
    grant = Grant(
        number,
        lifetime,
        choice.prefill,
        choice.ahead,
        is_permit,
    )
    if request.stream is not None:
        record_grant(state, request.stream, choice.upstream)
    if entry != state.entry_key:
        # The home's own counts include its own requests at once.
        state.grant_book.grant(entry, grant)
    return grant
