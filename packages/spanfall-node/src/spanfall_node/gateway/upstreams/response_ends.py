"""Relay event streams and decide what the end of a response proves.

This is the only place that decides whether a response is complete. A response
that ended with its connection reaches the caller with no more proof than the
upstream gave.
"""

from collections.abc import Callable
from functools import partial

import anyio
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.limits.memory_budget import SMALL_BYTES
from spanfall_core.gateway.routing.sends import SendOutcome

from spanfall_node.gateway.net.bodies import too_large
from spanfall_node.gateway.net.body_ends import (
    PROVEN_ENDS,
    BodyEnd,
    BodyFraming,
)
from spanfall_node.gateway.net.client import Connection
from spanfall_node.gateway.net.errors import BrokenCallError
from spanfall_node.gateway.net.response_heads import ResponseHead
from spanfall_node.gateway.net.sockets import slices
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.attempt import (
    Answered,
    Exchange,
    Failed,
    abort_response,
    count_run,
    record_response,
)
from spanfall_node.gateway.upstreams.event_parts import EventTooLargeError
from spanfall_node.gateway.upstreams.forwarded import response_headers
from spanfall_node.gateway.upstreams.resuming import bind_origin

#: Maximum bytes of a body whose length is not stated.
MAX_UNSTATED_BYTES = 8_388_608
#: Bytes that are held of a response that is relayed as it arrives: what is read
#: at a time, and what its caller has yet to take.
RELAY_BYTES = 32_768
#: Seconds between two looks for room for them.
ROOM_POLL_SECONDS = 0.02
#: Ends after which a response is complete for all that its framing shows.
COMPLETE_ENDS = PROVEN_ENDS | {BodyEnd.CLOSED}


async def checked_end(
    exchange: Exchange, conn: Connection, head: ResponseHead
) -> BodyEnd:
    """Return how a body that was read to its end ended.

    Raises:
        BrokenCallError: the body may be incomplete: its connection ended with
            its upstream, or without taking the request.
    """
    if conn.body_end is BodyEnd.CLOSED:
        conn.body_end = await _closed_end(exchange, conn, head)
        if conn.body_end is not BodyEnd.CLOSED:
            raise BrokenCallError(
                f'response {head.status} without a length ended: '
                f'{conn.body_end}'
            )
    return conn.body_end


async def relay_stream(
    state: GatewayState,
    exchange: Exchange,
    upstream: ListedUpstream,
    head: ResponseHead,
    conn: Connection,
    on_token: Callable[[], None],
) -> Answered | Failed:
    """Relay an event stream event by event.

    Raises:
        BrokenCallError: the stream ended without proof of its end, and is
            probably incomplete.
    """
    if not head.header(state.platform.names.signature):
        return Failed(SendOutcome.BROKEN, 'a stream without a signature')
    events = exchange.events
    events.discard_partial()
    held_before = exchange.caller.held.size
    is_delimited = conn.framing is not BodyFraming.CONNECTION
    while True:
        part = await conn.read_chunk()
        if part is None:
            break
        on_token()
        count_run(state, exchange.admitted)
        if exchange.run is not None:
            await exchange.run.record_part(state.timers.now())
        whole = events.feed(part)
        if whole:
            exchange.timings.record(state.timers.now())
            await bind_origin(state, exchange, upstream)
            await _start_response(state, exchange, head, is_delimited)
            await exchange.caller.send_part(whole)
        _hold_partial_event(exchange, held_before)
    await _check_stream_end(exchange, conn, head)
    await _start_response(state, exchange, head, is_delimited)
    if events.partial_event:
        await exchange.caller.send_part(bytes(events.partial_event))
    await exchange.caller.send_end()
    return Answered()


def _hold_partial_event(exchange: Exchange, held_before: int) -> None:
    """Hold the bytes of an incomplete event.

    Raises:
        EventTooLargeError: the node has no memory for them.
    """
    partial = len(exchange.events.partial_event)
    if partial > SMALL_BYTES:
        if not exchange.caller.held.try_reach(held_before + partial):
            raise EventTooLargeError


async def relay_unheld(
    state: GatewayState,
    exchange: Exchange,
    conn: Connection,
    head: ResponseHead,
    begun: bytearray,
) -> Answered:
    """Relay a response as it arrives, of which some bytes were read.

    It can't be sent again elsewhere, so a failure cuts it, and the request and
    what was sent of the response are held no longer.
    """
    is_delimited = conn.framing is not BodyFraming.CONNECTION
    await _start_response(state, exchange, head, is_delimited)
    try:
        await _relay_parts(exchange, conn, begun)
        if await checked_end(exchange, conn, head) not in COMPLETE_ENDS:
            raise BrokenCallError(f'response ended by {conn.body_end}')
    except BrokenCallError as exc:
        await abort_response(state, exchange, SendOutcome.BROKEN, exc.reason)
    else:
        await exchange.caller.send_end()
    return Answered()


async def _relay_parts(
    exchange: Exchange, conn: Connection, begun: bytearray
) -> None:
    """Relay the rest of a body after those bytes of it that were read."""
    size = len(begun)
    await _relay_slices(exchange, begun)
    begun.clear()
    exchange.admitted.body = b''
    exchange.caller.release_held()
    conn.read_bytes = RELAY_BYTES // 2
    while True:
        await _hold_to_relay(exchange)
        part = await conn.read_chunk()
        if part is None:
            return
        size += len(part)
        if size > MAX_UNSTATED_BYTES and conn.framing is not BodyFraming.LENGTH:
            raise too_large(size, MAX_UNSTATED_BYTES)
        await exchange.caller.turns.read_bulk(size)
        await exchange.caller.send_part(part)


async def _hold_to_relay(exchange: Exchange) -> None:
    """Hold the bytes that are on their way, once there is room for them."""
    caller = exchange.caller
    try_hold = partial(caller.held.try_reach, RELAY_BYTES)
    if try_hold():
        return
    # One at a time looks for room, the one that has waited longest.
    async with caller.table.waits_for_room:
        while not try_hold():
            if not caller.table.free_bytes(RELAY_BYTES, try_hold):
                await anyio.sleep(ROOM_POLL_SECONDS)


async def _relay_slices(exchange: Exchange, body: bytearray) -> None:
    for part in slices(body):
        await exchange.caller.send_part(part)


async def _check_stream_end(
    exchange: Exchange, conn: Connection, head: ResponseHead
) -> None:
    """Raise BrokenCallError unless the stream may be called complete."""
    if conn.body_end is BodyEnd.CLOSED:
        conn.body_end = _closed_stream_end(exchange)
    if conn.body_end is BodyEnd.CLOSED:
        conn.body_end = await _closed_end(exchange, conn, head)
    if conn.body_end not in COMPLETE_ENDS:
        raise BrokenCallError(
            f'stream ended after {exchange.events.events} events: '
            f'{conn.body_end}'
        )


def _closed_stream_end(exchange: Exchange) -> BodyEnd:
    """Return what the events show of a stream that ended with its connection."""
    events = exchange.events
    if events.is_inside_event or not events.events:
        return BodyEnd.INSIDE_EVENT
    if events.is_final:
        return BodyEnd.FINAL_EVENT
    if exchange.started and not exchange.caller.ends_with_connection:
        return BodyEnd.UNPROVEN
    return BodyEnd.CLOSED


async def _closed_end(
    exchange: Exchange, conn: Connection, head: ResponseHead
) -> BodyEnd:
    """Return how a body ended, as far as the end of its connection shows.

    A refusal need not take the request that it answers.
    """
    if head.is_success and conn.is_early:
        return BodyEnd.REQUEST_NOT_TAKEN
    if not await _still_runs(exchange):
        return BodyEnd.SERVER_GONE
    if head.is_success and conn.stream.is_reset():
        return BodyEnd.REQUEST_NOT_TAKEN
    return BodyEnd.CLOSED


async def _still_runs(exchange: Exchange) -> bool:
    if exchange.check_still_runs is None:
        return True
    return await exchange.check_still_runs()


async def _start_response(
    state: GatewayState,
    exchange: Exchange,
    head: ResponseHead,
    is_delimited: bool,
) -> None:
    if exchange.started:
        return
    headers = response_headers(head, None, exchange.admitted.req.method)
    exchange.started = True
    await exchange.caller.send_head(
        head.status, headers, is_delimited=is_delimited
    )
    record_response(state, exchange, head.status)
