"""Open connections to HTTP servers."""

import logging

import anyio

from spanfall_node.gateway.net.bounded_stream import (
    BoundedStream,
    open_stream,
)
from spanfall_node.gateway.net.client import Connection
from spanfall_node.gateway.net.errors import (
    NobodyListensError,
    NotSentError,
    PathUnknownError,
)
from spanfall_node.gateway.net.sockets import (
    NO_ROOM_ERRORS,
    enable_keepalive,
)

logger = logging.getLogger(__name__)

#: Seconds by which a time-out is noticed late if this process was paused.
PAUSE_SECONDS = 0.05


async def connect(address: str, timeout: float) -> Connection:
    """Open a connection.

    Tries once more where the time-out was noticed late, as a process that was
    paused cannot tell whether the server accepted in time, and where the
    connection was reset, as the process that listened there may be ending.

    Raises:
        NobodyListensError: the host refused the connection.
        PathUnknownError: this process has no descriptor for it.
        NotSentError: the connection was not established in time.
    """
    stream = await _open_stream(address, timeout)
    if stream is None:
        stream = await _open_stream(address, timeout)
    if stream is None:
        raise NotSentError('no connection: reset, or a pause here, twice')
    enable_keepalive(stream)
    return Connection(stream, address)


async def _open_stream(address: str, timeout: float) -> BoundedStream | None:
    """Open a stream; return None if one more attempt may tell more."""
    deadline = anyio.current_time() + timeout
    try:
        with anyio.fail_after(timeout):
            return await open_stream(address)
    except TimeoutError as exc:
        if anyio.current_time() - deadline > PAUSE_SECONDS:
            logger.info('Connecting to %s: this process paused', address)
            return None
        raise NotSentError(f'no connection within {timeout} s') from exc
    except ConnectionResetError:
        logger.info('Connecting to %s: reset before it was open', address)
        return None
    except OSError as exc:
        raise _not_sent(exc) from exc


def _not_sent(exc: OSError) -> NotSentError:
    """Return what an error of connect says of the host."""
    if isinstance(exc, ConnectionRefusedError):
        return NobodyListensError('nobody listens there')
    reason = f'no connection: {type(exc).__name__}: {exc}'
    if exc.errno in NO_ROOM_ERRORS:
        return PathUnknownError(reason)
    return NotSentError(reason)
