"""Serve readiness and metrics, and shut down gracefully."""

import logging
import signal

import anyio
from prometheus_client import generate_latest
from spanfall_core.gateway.known.configuration import CallerLimits

from spanfall_node.gateway.callers.callers import Callers
from spanfall_node.gateway.home.leadership import Leadership
from spanfall_node.gateway.net.bounded_stream import BoundedStream
from spanfall_node.gateway.net.connection_table import ConnectionTable
from spanfall_node.gateway.net.errors import BadRequestError, CallerGoneError
from spanfall_node.gateway.net.ports import Headers
from spanfall_node.gateway.net.turns import NoTurnError
from spanfall_node.gateway.requests.caller_connection import (
    CallerConnection,
)
from spanfall_node.gateway.requests.caller_request import CallerRequest
from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)

#: Minimum seconds for which a stopping node keeps listening after the signal:
#: the load balancer removes a node after two failed health checks, which it
#: sends once per second.
MIN_STOP_SECONDS = 3.5
#: Seconds before the end of the grace period at which remaining requests are
#: answered, and at which all connections are closed.
STOP_MARGIN_SECONDS = 0.7
CLOSE_MARGIN_SECONDS = 0.3
#: Seconds between two checks for open requests.
POLL_SECONDS = 0.1

_TEXT: Headers = [(b'content-type', b'text/plain; charset=utf-8')]


class StatusServer:
    """Serve health checks of the load balancer and requests for metrics."""

    def __init__(self, state: GatewayState) -> None:
        """Use the state of the node."""
        self._state = state

    async def serve_connection(
        self, stream: BoundedStream, table: ConnectionTable
    ) -> None:
        """Serve the requests of one connection."""
        caller = CallerConnection(
            stream, CallerLimits(), self._state.turns, table
        )
        try:
            await self._serve_requests(caller)
        except (BadRequestError, CallerGoneError, NoTurnError) as exc:
            logger.info('Status connection failed: %r', exc)
        except Exception:
            logger.exception('Unexpected error on a status connection')
        finally:
            await caller.abort()

    async def _serve_requests(self, caller: CallerConnection) -> None:
        while True:
            req = await caller.read_request()
            if req is None:
                return
            # A body is of no use here, so it is refused unread.
            caller.closing = req.has_body
            await self._respond(caller, req)
            if caller.closing:
                await caller.close_gracefully()
            if not caller.start_next():
                return

    async def _respond(
        self,
        caller: CallerConnection,
        req: CallerRequest,
    ) -> None:
        state = self._state
        status, body = 404, b''
        if req.path == state.platform.readiness_path:
            ready = state.is_ready(state.timers.now())
            status = 200 if ready else 503
        elif req.path == '/metrics':
            async with state.turns.take():
                body = generate_latest(state.counters.registry)
            status = 200
        headers = [*_TEXT, (b'content-length', b'%d' % len(body))]
        if req.method == 'HEAD':
            body = b''
        await caller.send_response(status, headers, body)


async def stop_on_signal(
    state: GatewayState,
    callers: Callers,
    leadership: Leadership,
    scope: anyio.CancelScope,
) -> None:
    """Shut down on SIGTERM or SIGINT; further signals change nothing."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            logger.info('Received %s: shutting down', number.name)
            break
        await shut_down(state, callers, leadership)
    scope.cancel()


async def shut_down(
    state: GatewayState, callers: Callers, leadership: Leadership
) -> None:
    """Answer all requests within the grace period, and take no others.

    The node reports that it is not ready at once and resigns as home. What
    waits asks again, now with the end of this process as its deadline, and is
    refused as soon as it is known not to be served by then.
    """
    grace = state.cfg.bounds.stop_seconds
    state.draining_since = state.timers.now()
    state.shutdown.begin(
        grace - STOP_MARGIN_SECONDS, grace - CLOSE_MARGIN_SECONDS
    )
    state.contention.held.ask_again()
    await leadership.resign()
    await _finish(state, callers)
    logger.info('Shut down with %s requests still open', state.open_requests)


async def _finish(state: GatewayState, callers: Callers) -> None:
    shutdown = state.shutdown
    with anyio.move_on_after(shutdown.seconds_left):
        stopping = state.timers.now() - state.draining_since
        await anyio.sleep(MIN_STOP_SECONDS - stopping)
    while state.open_requests and shutdown.linger_seconds(POLL_SECONDS):
        await anyio.sleep(POLL_SECONDS)
    await callers.close_idle()
