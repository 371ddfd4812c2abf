"""Compute, as the home, what the upstreams of a service can take now."""

from collections.abc import Callable, Iterator
from dataclasses import replace
from functools import partial

from spanfall_core.gateway.contention.room import (
    ServiceRoom,
    UpstreamLoad,
    openings,
)
from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.listed import ListedUpstream

from spanfall_node.gateway.tables.contention import ContendedService, Places
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.granting import (
    FAILING_THRESHOLD,
    withheld_upstreams,
)

#: Minimum seconds between two computations of a service's room: entries report
#: changes of their load about as often.
MIN_ROOM_SECONDS = 0.005
#: Seconds between two computations for each upstream of the service, so that
#: they take a small part of the home's time also where there are many.
ROOM_SECONDS_PER_UPSTREAM = 2e-5
#: One in so many upstreams has to get a request before the room is computed
#: again within that time.
UPSTREAMS_PER_SEND = 8

#: Returns the factor by which the work of an upstream takes longer than usual.
Slowdown = Callable[[Lifetime, float], float]


def current_room(
    state: GatewayState,
    service: str,
    now: float,
) -> ServiceRoom:
    """Return the room of a service, as computed a short time ago."""
    row = state.contention.service(service)
    if row.room is not None and not _is_room_due(row, row.room, now):
        return row.room
    row.room_at = now
    row.sent_since = 0
    row.update_waiting(now)
    room = _compute_room(state, service, now, state.upstream_speeds.factor)
    row.work_rate.learn(room.upstreams, row.seconds_waiting(now), now)
    row.room = replace(
        room, work_rate=row.work_rate.per_upstream * room.upstreams
    )
    return row.room


def _is_room_due(row: ContendedService, room: ServiceRoom, now: float) -> bool:
    age = now - row.room_at
    upstreams = room.upstreams
    if age >= max(MIN_ROOM_SECONDS, ROOM_SECONDS_PER_UPSTREAM * upstreams):
        return True
    has_sent = row.sent_since * UPSTREAMS_PER_SEND >= max(1, upstreams)
    return has_sent and room.free <= row.queue.given


def _compute_room(
    state: GatewayState, service: str, now: float, slowdown: Slowdown
) -> ServiceRoom:
    """Sum up the loads of the upstreams that may get requests."""
    running = state.grant_book.running
    usable = _usable(state, service, now)
    reads_prompts = _reads_prompts(state, service)
    found = _find_openings(state, service, usable, now, slowdown)
    state.contention.service(service).openings = found
    return ServiceRoom(
        len(usable),
        places=sum(slots for _, slots in usable),
        busy=sum(running.get(lifetime, 0) for lifetime, _ in usable),
        work_rate=0,
        least_run=(
            state.granted_prompts.speed(service).base if reads_prompts else 0
        ),
        free=sum(found.values()),
        opens_in=_seconds_to_open(state, usable, now),
    )


def _find_openings(
    state: GatewayState,
    service: str,
    usable: list[Places],
    now: float,
    slowdown: Slowdown,
) -> dict[Lifetime, int]:
    """Return how many requests each upstream with room may get."""
    reads_prompts = _reads_prompts(state, service)
    configuration = state.configuration
    target = configuration.tightest_target(service) if configuration else 1
    running, prefill = state.grant_book.running, state.grant_book.prefill
    backing_off = state.words.fleet_backoffs.active(now)
    rate = state.granted_prompts.speed(service).rate
    count = partial(
        openings,
        tightest_target=target,
        reads_prompts=reads_prompts,
        calls_per_second=state.contention.service(
            service
        ).work_rate.per_upstream,
    )
    found = {
        lifetime: count(
            UpstreamLoad(
                slots,
                running.get(lifetime, 0),
                max(0, prefill.get(lifetime, 0)) / rate,
                slowdown(lifetime, now),
            )
        )
        for lifetime, slots in usable
        if lifetime not in backing_off
        and (not reads_prompts or running.get(lifetime, 0) < slots)
    }
    return {lifetime: opened for lifetime, opened in found.items() if opened}


def _seconds_to_open(
    state: GatewayState, usable: list[Places], now: float
) -> float:
    """Return the seconds until the first upstream accepts requests."""
    backoffs = state.words.fleet_backoffs
    backing_off = backoffs.active(now)
    if not all(lifetime in backing_off for lifetime, _ in usable):
        return 0
    lifetimes = (lifetime for lifetime, _ in usable)
    return backoffs.seconds_until_first_end(lifetimes, now) or 0


def _reads_prompts(state: GatewayState, service: str) -> bool:
    configuration = state.configuration
    served = configuration.services.get(service) if configuration else None
    return served is not None and served.engine is not None


def upstreams_with_room(
    state: GatewayState, row: ContendedService
) -> Iterator[ListedUpstream]:
    """Yield the upstreams that may get a request now."""
    rows = state.directory.rows
    return (rows[one] for one in row.openings if one in rows)


def _usable(state: GatewayState, service: str, now: float) -> list[Places]:
    """Return the upstreams that get requests.

    Those that are failing or backing off count only if all are.
    """
    withheld = withheld_upstreams(state, service, now)
    backing_off = state.words.fleet_backoffs.active(now)
    rows = [
        row
        for row in state.contention.service(service).places_of(
            state.directory.serving(service)
        )
        if row[0] not in withheld
    ]
    sound = [
        row
        for row in rows
        if row[0] not in backing_off
        and state.loads.failures_at(row[0], now) < FAILING_THRESHOLD
    ]
    return sound or rows
