"""Spare upstreams that end when they reject too many requests."""

from collections.abc import Iterator

from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.limits.brittle import (
    UNKNOWN_SHARE,
    own_share,
    pause_seconds,
)

from spanfall_node.gateway.tables.state import GatewayState

#: Report periods after which a new home knows what runs at all upstreams.
KNOWN_AFTER_PERIODS = 2
#: Seconds after which a request that found all brittle upstreams full asks
#: again.
FULL_WAIT_SECONDS = 0.1


def note_rejection(state: GatewayState, lifetime: Lifetime) -> None:
    """Count a rejection by a brittle upstream, and tell the home."""
    survived = state.words.table.rejections.get(lifetime)
    if survived is None:
        return
    now = state.timers.now()
    if state.tenure is not None:
        merge_rejections(state, (lifetime,))
        return
    senders = state.quotas.entries if state.home is None else 1
    seconds = pause_seconds(survived, senders)
    state.words.backoffs.record(lifetime, seconds, now)
    state.words.unreported_rejections[lifetime] = None


def merge_rejections(
    state: GatewayState, lifetimes: tuple[Lifetime, ...]
) -> None:
    """Count rejections that entries report, as the home."""
    for lifetime in lifetimes:
        survived = state.words.table.rejections.get(lifetime)
        if survived is not None:
            state.words.brittle_rooms.record_rejections(
                lifetime,
                state.grant_book.running[lifetime],
                survived,
                state.timers.now(),
            )


def take_rejections(state: GatewayState) -> tuple[Lifetime, ...]:
    """Return the rejections for the next message; they count as sent."""
    taken = tuple(state.words.unreported_rejections)
    state.words.unreported_rejections.clear()
    return taken


def full_for_fleet(
    state: GatewayState, service: str, now: float
) -> set[Lifetime]:
    """Return the brittle upstreams that may get no request now, as the home."""
    share = 1.0
    known_at = KNOWN_AFTER_PERIODS * state.fleet.period(now)
    if state.tenure is not None and now < state.tenure.began_at + known_at:
        share = UNKNOWN_SHARE
    running = state.grant_book.running
    return {
        row.lifetime
        for row in _brittle(state, service)
        if state.words.brittle_rooms.is_full(
            row.lifetime,
            max(1, int(row.slots * share)),
            running[row.lifetime],
            now,
        )
    }


def full_for_entry(state: GatewayState, service: str) -> set[Lifetime]:
    """Return the brittle upstreams at which this entry uses its own share."""
    return {
        row.lifetime
        for row in _brittle(state, service)
        if state.loads.running[row.lifetime]
        >= own_share(row.slots, state.quotas.entries)
    }


def has_brittle(state: GatewayState, service: str) -> bool:
    """Return whether a service has brittle upstreams."""
    return any(True for _ in _brittle(state, service))


def _brittle(state: GatewayState, service: str) -> Iterator[ListedUpstream]:
    brittle = state.words.table.rejections
    if not brittle:
        return iter(())
    rows = state.directory.serving(service)
    return (row for row in rows if row.lifetime in brittle)
