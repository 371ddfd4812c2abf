"""Serve callers' connections and pass each request through the gateway."""

import logging

import anyio

from spanfall_node.gateway.callers.refusing import (
    refuse,
    refuse_bad,
    unexpected_end,
)
from spanfall_node.gateway.limits.unit_requests import UnitClient
from spanfall_node.gateway.net.bounded_stream import BoundedStream
from spanfall_node.gateway.net.connection_table import ConnectionTable
from spanfall_node.gateway.net.errors import BadRequestError, CallerGoneError
from spanfall_node.gateway.requests.admission import AdmittedRequest, admit
from spanfall_node.gateway.requests.body_reading import read_request_body
from spanfall_node.gateway.requests.caller_connection import (
    LINGER_SECONDS,
    CallerConnection,
)
from spanfall_node.gateway.requests.caller_request import CallerRequest
from spanfall_node.gateway.requests.refusals import (
    RefusedError,
    UnitsMissingError,
    draining_refusal,
)
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.relay import serve
from spanfall_node.gateway.upstreams.watched_sends import UpstreamAccess

logger = logging.getLogger(__name__)

#: Seconds after the stop signal during which new requests are still served.
#: By then the load balancer has noticed and moved its connections elsewhere.
DRAIN_GRACE_SECONDS = 3.0
#: Maximum seconds that a request waits for the first configuration or for
#: units from the home. This is most of a report period and under half of any
#: latency target; a refused request is retried later than that, or never.
MAX_ADMISSION_WAIT_SECONDS = 0.12
#: Seconds between two attempts to admit a waiting request.
ADMISSION_POLL_SECONDS = 0.02


class Callers:
    """Serve callers' connections and track which of them are idle."""

    def __init__(
        self,
        state: GatewayState,
        access: UpstreamAccess,
        units: UnitClient,
    ) -> None:
        """Use the node's state, upstream access and unit client."""
        self._state = state
        self._access = access
        self._units = units
        self._connections: dict[int, CallerConnection] = {}
        self._idle: set[int] = set()

    async def serve_connection(
        self, stream: BoundedStream, table: ConnectionTable
    ) -> None:
        """Serve the requests of one connection until either side closes it."""
        caller = CallerConnection(
            stream, self._state.limits, self._state.turns, table
        )
        self._connections[id(caller)] = caller
        try:
            await self._serve_requests(caller)
        except CallerGoneError:
            caller.gone = True
        except Exception:
            logger.exception(
                'Unexpected error on a caller connection; closing the connection'
            )
            caller.gone = True
        finally:
            self._connections.pop(id(caller), None)
            with anyio.CancelScope(shield=True):
                await self._close(caller)

    async def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for key in list(self._idle):
            caller = self._connections.get(key)
            if caller is not None:
                caller.gone = True
                await caller.abort()

    async def _close(self, caller: CallerConnection) -> None:
        if caller.gone or caller.is_responding:
            await caller.abort()
        else:
            await caller.close_gracefully(
                self._state.shutdown.linger_seconds(LINGER_SECONDS)
            )

    async def _serve_requests(self, caller: CallerConnection) -> None:
        while True:
            caller.limits = self._state.limits
            try:
                req = await self._next_request(caller)
            except BadRequestError as exc:
                await refuse_bad(self._state, caller, exc)
                return
            if req is None:
                return
            await self._handle(caller, req)
            if not caller.start_next():
                return

    async def _next_request(
        self,
        caller: CallerConnection,
    ) -> CallerRequest | None:
        self._idle.add(id(caller))
        try:
            return await caller.read_request()
        finally:
            self._idle.discard(id(caller))

    async def _handle(
        self,
        caller: CallerConnection,
        req: CallerRequest,
    ) -> None:
        state = self._state
        began_at = state.timers.now()
        state.open_requests += 1
        try:
            await self._serve(caller, req, began_at)
        except BadRequestError as exc:
            await refuse_bad(state, caller, exc)
        except RefusedError as exc:
            await refuse(state, caller, exc, req)
        finally:
            state.open_requests -= 1
            caller.held.shrink_to(0, state.timers.now())

    async def _serve(
        self,
        caller: CallerConnection,
        req: CallerRequest,
        began_at: float,
    ) -> None:
        """Read the body of a request, admit it and relay its response.

        Raises:
            BadRequestError: the body is malformed, too large or too slow.
            RefusedError: the request gets no response of an upstream.
            CallerGoneError: the caller disconnected, or the response that it
                gets has to be cut.
        """
        admitted: AdmittedRequest | None = None
        try:
            body = await read_request_body(self._state, caller, req)
            self._check_draining(caller)
            admitted = await self._admit(req, body, began_at)
            self._record_admitted(admitted)
            await self._serve_until_disconnect(caller, admitted)
        except (BadRequestError, RefusedError, CallerGoneError):
            raise
        except Exception as exc:
            attempt_id = req.header(self._state.platform.names.attempt_id)
            logger.exception('Unexpected error in request %s', attempt_id)
            raise unexpected_end(
                caller, may_have_run=admitted is not None
            ) from exc

    async def _admit(
        self,
        req: CallerRequest,
        body: bytes,
        began_at: float,
    ) -> AdmittedRequest:
        """Admit a request, waiting a bounded time if the refusal is transient.

        Raises:
            RefusedError: the request is refused; it was sent to no upstream.
        """
        state = self._state
        while True:
            try:
                return admit(state, req, body, began_at)
            except RefusedError as exc:
                waited = state.timers.now() - began_at
                if not exc.is_transient or waited >= MAX_ADMISSION_WAIT_SECONDS:
                    raise
                refusal = exc
            if not await self._obtain_missing(refusal):
                await anyio.sleep(ADMISSION_POLL_SECONDS)

    async def _obtain_missing(self, refusal: RefusedError) -> bool:
        """Obtain missing units from the home; return whether it lent them."""
        if not isinstance(refusal, UnitsMissingError):
            return False
        return await self._units.obtain(refusal.workspace, refusal.units)

    async def _serve_until_disconnect(
        self,
        caller: CallerConnection,
        admitted: AdmittedRequest,
    ) -> None:
        """Serve a request and cancel it as soon as the caller disconnects."""
        refusals: list[RefusedError] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self._cancel_on_disconnect, caller, tasks.cancel_scope
            )
            try:
                await serve(self._state, self._access, admitted, caller)
            except RefusedError as exc:
                refusals.append(exc)
            except CallerGoneError:
                caller.gone = True
            tasks.cancel_scope.cancel()
        if refusals:
            self._return_units(admitted, refusals[0])
            raise refusals.pop()
        if caller.gone:
            raise CallerGoneError

    async def _cancel_on_disconnect(
        self,
        caller: CallerConnection,
        scope: anyio.CancelScope,
    ) -> None:
        await caller.wait_for_disconnect()
        scope.cancel()

    def _return_units(
        self, admitted: AdmittedRequest, refusal: RefusedError
    ) -> None:
        if refusal.status != 503 or admitted.workspace is None:
            return
        state = self._state
        now = state.timers.now()
        workspace = admitted.workspace.name
        limit = state.limits_at(now).get(workspace)
        if limit is None:
            return
        state.counters.units_returned.labels(workspace).inc(admitted.units)
        state.quotas.give_back(
            workspace,
            limit,
            admitted.units,
            admitted.began_at,
            now,
        )

    def _check_draining(self, caller: CallerConnection) -> None:
        state = self._state
        if state.draining_since is None:
            return
        caller.closing = True
        stopping = state.timers.now() - state.draining_since
        if stopping > DRAIN_GRACE_SECONDS:
            raise draining_refusal()

    def _record_admitted(self, admitted: AdmittedRequest) -> None:
        state = self._state
        if admitted.workspace is not None:
            workspace = admitted.workspace.name
            state.counters.units_admitted.labels(workspace).inc(admitted.units)
