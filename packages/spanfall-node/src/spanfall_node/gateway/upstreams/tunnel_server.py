"""Connect to upstreams for peers that do not reach them."""

import logging

import anyio

from spanfall_node.gateway.net.bounded_stream import BoundedStream
from spanfall_node.gateway.net.connection_table import ConnectionTable
from spanfall_node.gateway.net.errors import (
    BadRequestError,
    CallerGoneError,
    NobodyListensError,
    NotSentError,
)
from spanfall_node.gateway.net.host_limits import host_limits
from spanfall_node.gateway.net.pool import Dial
from spanfall_node.gateway.net.sockets import SOCKET_ERRORS, enable_keepalive
from spanfall_node.gateway.net.tunnels import (
    NO_ANSWER_STATUS,
    REFUSED_STATUS,
    copy_both_ways,
)
from spanfall_node.gateway.requests.body_reading import discard_body
from spanfall_node.gateway.requests.caller_connection import (
    CallerConnection,
)
from spanfall_node.gateway.requests.caller_request import CallerRequest
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.reach_check import reaches_another

logger = logging.getLogger(__name__)

#: Timeout in seconds of a connection to an upstream: less than the peer waits.
CONNECT_TIMEOUT_SECONDS = 0.1
#: Status of a node that cannot connect for peers.
UNABLE_STATUS = 503
_NO_BODY = [(b'content-length', b'0')]


class TunnelServer:
    """Accept tunnels of peers to listed upstreams."""

    def __init__(self, state: GatewayState, dial: Dial) -> None:
        """Connect to upstreams with ``dial``, never through a peer."""
        self._state = state
        self._dial = dial
        self._open = 0
        self._most = host_limits(state.cfg.host).tunnels

    async def serve_connection(
        self, stream: BoundedStream, table: ConnectionTable
    ) -> None:
        """Serve one tunnel until either side closes it."""
        peer = CallerConnection(
            stream, self._state.limits, self._state.turns, table
        )
        self._open += 1
        try:
            await self._serve(peer)
        except SOCKET_ERRORS as exc:
            logger.info('The connection of a peer ended: %r', exc)
        except (BadRequestError, CallerGoneError) as exc:
            logger.info('A peer gave up a tunnel: %r', exc)
        except Exception:
            logger.exception('Unexpected error on a tunnel; closing it')
        finally:
            self._open -= 1
            await peer.abort()

    async def _serve(self, peer: CallerConnection) -> None:
        req = await peer.read_request()
        if req is None:
            return
        status = self._refusal(req)
        if status is not None:
            await peer.send_response(status, _NO_BODY, b'')
            return
        try:
            conn = await self._dial(req.target, CONNECT_TIMEOUT_SECONDS)
        except NotSentError as exc:
            status = await self._verdict(req.target, exc)
            await peer.send_response(status, _NO_BODY, b'')
            return
        self._state.reach.own.record_reached(
            req.target, self._state.timers.now()
        )
        self._state.open_requests += 1
        try:
            await self._carry(peer, req, conn.stream)
        finally:
            self._state.open_requests -= 1
            with anyio.CancelScope(shield=True):
                await conn.close()

    async def _carry(
        self,
        peer: CallerConnection,
        req: CallerRequest,
        upstream: BoundedStream,
    ) -> None:
        await discard_body(peer, req)
        enable_keepalive(peer.stream)
        await peer.send_head(200, [])
        self._state.counters.tunnels.inc()
        await copy_both_ways(peer.stream, upstream)

    async def _verdict(self, address: str, exc: NotSentError) -> int:
        """Return the status for a failed connection.

        It says nothing of the upstream unless this node reaches another one.
        """
        if not await reaches_another(self._state, self._dial, address):
            return UNABLE_STATUS
        is_refused = isinstance(exc, NobodyListensError)
        return REFUSED_STATUS if is_refused else NO_ANSWER_STATUS

    def _refusal(self, req: CallerRequest) -> int | None:
        """Return the status of a refused tunnel, or None."""
        state = self._state
        if req.method != 'CONNECT':
            return 405
        if req.target not in state.directory.address_counts:
            return 403
        is_unable = state.reach.own.is_cut or state.draining_since is not None
        if is_unable or self._open > self._most:
            return UNABLE_STATUS
        return None
