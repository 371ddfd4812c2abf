"""Read the bodies of requests as far as the node has memory for them."""

from functools import partial

import anyio
import h11
from spanfall_core.gateway.limits.memory_budget import (
    FREE_BYTES,
    SMALL_BYTES,
    HeldBytes,
    MemoryBudget,
)
from spanfall_core.gateway.limits.phases import Phase
from spanfall_core.reasons import RefusalReason

from spanfall_node.gateway.net.errors import BadRequestError
from spanfall_node.gateway.requests.admission import (
    find_target,
    seconds_to_serve,
)
from spanfall_node.gateway.requests.caller_connection import (
    CallerConnection,
)
from spanfall_node.gateway.requests.caller_request import CallerRequest
from spanfall_node.gateway.requests.refusals import (
    RefusedError,
    draining_refusal,
)
from spanfall_node.gateway.tables.state import GatewayState


class NoMemoryError(Exception):
    """Report that there is no memory for a body of some bytes."""

    def __init__(self, size: int) -> None:
        """Hold the bytes of the body, as far as they are known."""
        super().__init__(f'no memory for a request body of {size} bytes')
        self.size = size


async def read_body(
    caller: CallerConnection, req: CallerRequest, held: HeldBytes
) -> bytes | bytearray:
    """Return the whole body of a request; its bytes are held.

    A body of a stated length is refused before any of it is read.

    Raises:
        BadRequestError: the body is malformed, too large or too slow.
        CallerGoneError: the caller disconnected.
        NoMemoryError: the node has no memory for the body.
    """
    body = bytearray()
    _hold(caller, held, req, req.stated_length)
    await caller.send_continue()
    while True:
        event = await caller.next_body_event()
        if isinstance(event, h11.EndOfMessage):
            return bytes(body) if len(body) <= SMALL_BYTES else body
        _hold(caller, held, req, len(body) + len(event.data))
        body += event.data


async def read_request_body(
    state: GatewayState, caller: CallerConnection, req: CallerRequest
) -> bytes | bytearray:
    """Return the body of a request, which the node holds from now on.

    What is known from the head to be refused is not read, unless it is small.

    Raises:
        BadRequestError: the body is malformed, too large or too slow.
        CallerGoneError: the caller disconnected.
        RefusedError: the request has no route or key, there is no memory for
            its body, or its time or that of this process ends before the body
            is complete.
    """
    caller.held = HeldBytes(state.memory)
    if not req.has_body:
        return await _read_held(state, caller, req)
    caller.enter(Phase.BODY)
    seconds = _seconds_to_read(state, caller, req)
    scope = anyio.CancelScope(deadline=anyio.current_time() + seconds)
    caller.reading = scope
    try:
        with state.shutdown.bounded(scope):
            body = await _read_held(state, caller, req)
            caller.enter(Phase.SERVING)
            return body
    finally:
        caller.reading = None
    caller.closing = True
    raise _incomplete(state, caller, seconds)


async def _read_held(
    state: GatewayState, caller: CallerConnection, req: CallerRequest
) -> bytes | bytearray:
    """Read a body, as ``read_body``, and refuse one that finds no room."""
    memory = state.memory
    try:
        return await read_body(caller, req, caller.held)
    except NoMemoryError as exc:
        raise RefusedError(
            503,
            RefusalReason.NODE_MEMORY,
            memory.plan_return(exc.size, state.timers.now()),
            detail=f'{exc}: {memory.held} of {memory.capacity} are held',
        ) from exc


def _seconds_to_read(
    state: GatewayState, caller: CallerConnection, req: CallerRequest
) -> float:
    """Return the seconds within which a body is of use."""
    if not req.is_chunked and req.stated_length <= FREE_BYTES:
        return caller.limits.idle_timeout
    is_small = not req.is_chunked and req.stated_length <= SMALL_BYTES
    try:
        route, _ = find_target(state, req, state.timers.now())
    except RefusedError as exc:
        if is_small or exc.is_transient:
            return caller.limits.idle_timeout
        caller.closing = True
        raise
    return seconds_to_serve(state, route, req)


def _incomplete(
    state: GatewayState, caller: CallerConnection, seconds: float
) -> Exception:
    """Return why a body was not read to its end."""
    if caller.has_given_way:
        return RefusedError(
            503,
            RefusalReason.NODE_MEMORY,
            state.memory.plan_return(SMALL_BYTES, state.timers.now()),
            detail='others need the room that this slow caller holds',
        )
    if state.shutdown.is_due:
        return draining_refusal()
    return BadRequestError(408, f'request body not complete after {seconds} s')


async def discard_body(caller: CallerConnection, req: CallerRequest) -> None:
    """Read a body that is not used and has to be small, as ``read_body``."""
    await read_body(caller, req, HeldBytes(MemoryBudget(SMALL_BYTES)))


def _hold(
    caller: CallerConnection, held: HeldBytes, req: CallerRequest, size: int
) -> None:
    """Hold a body of some bytes, or raise an error that closes the connection.

    Slow callers give way if there is no room for it.
    """
    if size > caller.limits.body_bytes:
        caller.closing = True
        raise BadRequestError(413, 'request body exceeds the size limit')
    wanted = req.head_bytes + size
    try_hold = partial(held.try_reach, wanted)
    if try_hold() or caller.table.free_bytes(wanted, try_hold):
        return
    caller.closing = True
    raise NoMemoryError(size)
