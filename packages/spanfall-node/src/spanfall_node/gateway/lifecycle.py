"""Report readiness and metrics, and stop in an orderly way."""

import logging
import signal

import anyio
from anyio.abc import SocketStream
from prometheus_client import generate_latest
from spanfall_core.gateway.known.configuration import CallerLimits

from spanfall_node.gateway.callers.callers import Callers
from spanfall_node.gateway.home.leadership import Leadership
from spanfall_node.gateway.net.errors import BadRequestError, CallerGoneError
from spanfall_node.gateway.net.ports import Headers
from spanfall_node.gateway.requests.caller_connection import (
    CallerConnection,
    CallerRequest,
)
from spanfall_node.gateway.tables.state import GatewayState

logger = logging.getLogger(__name__)

#: Seconds after the signal for which a stopping node still listens: the
#: balancer takes a node out after two questions, one a second.
LEAST_STOP_SECONDS = 3.5
#: Seconds before the end of the grace at which what still runs is cut.
STOP_MARGIN = 0.7
#: Seconds between two looks at what still runs.
LOOK_PERIOD = 0.1

_TEXT: Headers = [(b'content-type', b'text/plain; charset=utf-8')]


class StatusPages:
    """Answer the balancer's questions and requests for metrics."""

    def __init__(self, state: GatewayState) -> None:
        """Use the tables of the node."""
        self._state = state

    async def serve_connection(self, stream: SocketStream) -> None:
        """Serve one connection."""
        caller = CallerConnection(stream, CallerLimits())
        try:
            await self._serve_requests(caller)
        except (BadRequestError, CallerGoneError) as exc:
            logger.info('A status connection ended: %r', exc)
        finally:
            await caller.abort()

    async def _serve_requests(self, caller: CallerConnection) -> None:
        while True:
            req = await caller.read_request()
            if req is None:
                return
            await caller.read_body()
            await self._answer(caller, req)
            if not caller.start_next():
                return

    async def _answer(
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
            status, body = 200, generate_latest(state.counters.registry)
        headers = [*_TEXT, (b'content-length', b'%d' % len(body))]
        await caller.send_response(status, headers, body)


async def stop_on_signal(
    state: GatewayState,
    callers: Callers,
    leadership: Leadership,
    scope: anyio.CancelScope,
) -> None:
    """Stop at SIGTERM: unready at once, then finish what runs."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            logger.info('Signal %s: this node stops', number.name)
            break
    state.draining_since = state.timers.now()
    await leadership.resign()
    await _finish(state, callers)
    logger.info('Stopped with %s requests open', state.open_requests)
    scope.cancel()


async def _finish(state: GatewayState, callers: Callers) -> None:
    end = state.draining_since + state.cfg.bounds.stop_seconds - STOP_MARGIN
    await anyio.sleep(LEAST_STOP_SECONDS)
    while state.open_requests and state.timers.now() < end:
        await anyio.sleep(LOOK_PERIOD)
    await callers.close_idle()
