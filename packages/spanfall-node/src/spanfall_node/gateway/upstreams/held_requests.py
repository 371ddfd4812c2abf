"""State a request's terms to the home, and wait for its turn."""

import anyio
from spanfall_core.gateway.contention.waiting import AdmissionTerms, urgency
from spanfall_core.gateway.known.configuration import Route, ServedWorkspace

from spanfall_node.gateway.links.contention_messages import Rejection
from spanfall_node.gateway.requests.admission import (
    AdmittedRequest,
    token_counts,
)
from spanfall_node.gateway.requests.refusals import RefusedError
from spanfall_node.gateway.tables.contention import HeldWait
from spanfall_node.gateway.tables.scheduling import Feature
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.admitting import withdraw
from spanfall_node.gateway.upstreams.attempt import Exchange

#: Seconds for which a held request that has lost its home waits for the next
#: one: most homes that stop have a successor by then.
HOME_WAIT_SECONDS = 0.5
#: Workspace of all requests that need no key.
NO_WORKSPACE = ServedWorkspace('', frozenset())


def admission_terms(
    state: GatewayState, exchange: Exchange
) -> AdmissionTerms | None:
    """Return the terms of a request by the current configuration.

    Return None if it does not compete: its service is not under admission, or
    it was sent before or resumes a stream, and keeps its place. One that is
    held goes on to its turn also when the setting is turned off. The end of
    this process is a deadline like any other.
    """
    admitted = exchange.admitted
    is_on = state.scheduling.is_on(Feature.CONTENTION, admitted.service)
    if not is_on and not exchange.ticket:
        return None
    if exchange.tried or exchange.sends.sends or exchange.origin:
        return None
    now = state.timers.now()
    workspace = _current_workspace(state, admitted)
    route = _current_route(state, admitted)
    units = sum(token_counts(admitted.req, state.platform.names))
    return AdmissionTerms(
        workspace.name,
        _weight(state, workspace),
        urgency(workspace.priority, route.priority),
        units or 1,
        admitted.began_at + route.target - now,
        min(admitted.deadline - now, state.shutdown.seconds_left),
        exchange.held_seconds,
        exchange.ticket,
    )


def _weight(state: GatewayState, workspace: ServedWorkspace) -> float:
    """Return the share of a workspace relative to others."""
    if state.configuration is None:
        return workspace.rate or 1
    return state.configuration.weight(workspace)


def _current_workspace(
    state: GatewayState, admitted: AdmittedRequest
) -> ServedWorkspace:
    """Return the workspace as configured now, or as at the arrival."""
    known = admitted.workspace or NO_WORKSPACE
    if state.configuration is None:
        return known
    return state.configuration.workspaces.get(known.name, known)


def _current_route(state: GatewayState, admitted: AdmittedRequest) -> Route:
    """Return the route as configured now, or as at the arrival."""
    if state.configuration is None:
        return admitted.route
    req = admitted.req
    found = state.configuration.find_route(req.host, req.path)
    if found is None or found.name != admitted.route.name:
        return admitted.route
    return found


async def wait_for_turn(
    state: GatewayState, exchange: Exchange, wait: HeldWait
) -> None:
    """Wait until a held request is to ask again; withdraw it if cancelled."""
    if not exchange.held_seconds:
        state.counters.scheduling.held_requests.inc()
    exchange.ticket = wait.ticket.number
    began_at = state.timers.now()
    wait.held_at -= exchange.held_seconds
    is_over = False
    try:
        with anyio.move_on_after(wait.seconds):
            await wait.ended.wait()
        if wait.is_lost:
            await _wait_for_home(state, exchange)
        is_over = True
    finally:
        exchange.held_seconds += state.timers.now() - began_at
        _stop_waiting(state, wait, is_over=is_over)


async def _wait_for_home(state: GatewayState, exchange: Exchange) -> None:
    """Wait a bounded time for the home that follows the lost one."""
    exchange.ticket = 0
    if not state.contention.home_found.is_set():
        with anyio.move_on_after(HOME_WAIT_SECONDS):
            await state.contention.home_found.wait()


def _stop_waiting(
    state: GatewayState, wait: HeldWait, *, is_over: bool
) -> None:
    contention = state.contention
    held = contention.own_held if wait.is_own else contention.held
    held.remove(wait.ticket)
    if is_over or wait.is_lost:
        return
    if wait.is_own:
        withdraw(state, state.entry_key, (wait.ticket,))
    else:
        contention.withdraw(wait.ticket)


def refusal_of(exchange: Exchange, rejection: Rejection) -> RefusedError:
    """Return the refusal of a request that cannot be served in time."""
    retry_after, held = rejection.retry_after, exchange.held_seconds
    return RefusedError(
        503,
        rejection.reason,
        retry_after,
        detail=f'held {held:.3f} s, retry after {retry_after:.3f} s',
    )
