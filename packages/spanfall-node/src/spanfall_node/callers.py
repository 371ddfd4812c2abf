"""Serve callers: completions, application calls, and reattachment."""

import logging
from collections.abc import Awaitable, Callable
from functools import wraps

import anyio
from pydantic import ValidationError
from spanfall_api.completions import (
    CHARS_PER_TOKEN,
    CHAT_PATH,
    TEXT_PATH,
    parse_request,
    token_limit,
)
from spanfall_api.frames import Refused, Submit
from spanfall_api.objects import Service, Workspace
from spanfall_api.problems import RefusedError
from spanfall_core.reasons import RefusalReason, RunState
from spanfall_core.tables import ServiceKind
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from spanfall_node.bodies import read_body
from spanfall_node.catalog import Catalog
from spanfall_node.context import Context
from spanfall_node.entry import Entry
from spanfall_node.log import request_id_var
from spanfall_node.members import Members
from spanfall_node.relayed import Relay
from spanfall_node.rendering import render_problem
from spanfall_node.replies import Replies
from spanfall_node.rules import Call, Target, route
from spanfall_node.submits import (
    CALL_MARK,
    CHAT_MARK,
    TEXT_MARK,
    build_submit,
    passed_headers,
)
from spanfall_node.terms import read_number

logger = logging.getLogger(__name__)

METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
Endpoint = Callable[['Callers', Request], Awaitable[Response]]


def refusing(endpoint: Endpoint) -> Endpoint:
    """Render the refusals of an endpoint and count them."""

    @wraps(endpoint)
    async def wrapped(self: 'Callers', req: Request) -> Response:
        try:
            return await endpoint(self, req)
        except RefusedError as exc:
            self.count_refusal(exc.reason)
            return render_problem(exc, request_id_var.get())

    return wrapped


class Callers:
    """Answer requests on the caller port."""

    def __init__(
        self,
        context: Context,
        catalog: Catalog,
        members: Members,
        entry: Entry,
    ) -> None:
        """Serve from the catalog, through the entry."""
        self.stopping = anyio.Event()
        self._replies = Replies(context, entry, self.stopping)
        self.is_ready: Callable[[], bool] = lambda: True
        self._context = context
        self._catalog = catalog
        self._members = members
        self._entry = entry

    def build_app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route(CHAT_PATH, self.complete, methods=['POST']),
                Route(TEXT_PATH, self.complete, methods=['POST']),
                Route('/v1/models', self.list_models, methods=['GET']),
                Route(
                    '/v1/requests/{request_id}',
                    self.reattach,
                    methods=['GET'],
                ),
                Route(
                    '/services/{service}/{path:path}',
                    self.pass_through,
                    methods=list(METHODS),
                ),
            ],
        )

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count one refusal."""
        self._context.metrics.refusals.labels(reason.value).inc()

    @refusing
    async def list_models(self, req: Request) -> Response:
        """List the model services that the workspace may call."""
        workspace = self._authenticate(req)
        models = [
            {'id': service.name, 'object': 'model', 'owned_by': 'spanfall'}
            for service in self._catalog.services.values()
            if service.kind is ServiceKind.MODEL
            and route(self._catalog, Call(workspace, service.name))[1]
        ]
        return JSONResponse({'object': 'list', 'data': models})

    @refusing
    async def complete(self, req: Request) -> Response:
        """Answer a completion, streamed or whole."""
        workspace = self._admit(req)
        raw = await read_body(req, self._context.cfg.limits)
        try:
            body = parse_request(req.url.path, raw)
        except ValidationError as exc:
            raise RefusedError(
                RefusalReason.BAD_REQUEST,
                f'{exc.error_count()} faults: {exc.errors()[0]["msg"]}',
            ) from exc
        limit = self._context.cfg.limits.max_tokens
        if token_limit(body) > limit:
            raise RefusedError(
                RefusalReason.BAD_REQUEST,
                f'max_tokens is over {limit}',
            )
        target, service = self._route(Call(workspace, body.model))
        path = req.url.path
        mark = CHAT_MARK if path == CHAT_PATH else TEXT_MARK
        submit = build_submit(
            req, workspace, target, service, self._context.node_id, mark
        )
        submit = submit.model_copy(update={'path': path, 'body': raw})
        relay = self._open(submit)
        if body.stream:
            return await self._replies.stream(relay, body.model, 0)
        tokens = len(body.prompt_text()) // CHARS_PER_TOKEN
        return await self._replies.whole(relay, body.model, tokens)

    @refusing
    async def pass_through(self, req: Request) -> Response:
        """Pass a call on to an application service."""
        workspace = self._admit(req)
        raw = await read_body(req, self._context.cfg.limits)
        path = '/{0}'.format(req.path_params['path'])
        call = Call(
            workspace,
            req.path_params['service'],
            req.method,
            path,
            is_model=False,
        )
        target, service = self._route(call)
        if service.kind is not ServiceKind.APPLICATION:
            raise RefusedError(
                RefusalReason.UNKNOWN_SERVICE,
                'this service is a model; use the completions interface',
            )
        submit = build_submit(
            req, workspace, target, service, self._context.node_id, CALL_MARK
        )
        query = f'?{req.url.query}' if req.url.query else ''
        submit = submit.model_copy(
            update={
                'method': req.method,
                'path': path + query,
                'headers': passed_headers(req, submit.request_id),
                'body': raw,
            },
        )
        return await self._replies.call(self._open(submit))

    @refusing
    async def reattach(self, req: Request) -> Response:
        """Go on with an answer after the event that a caller saw last."""
        workspace = self._authenticate(req)
        request_id = req.path_params['request_id']
        request_id_var.set(request_id)
        parts = request_id.split('.')
        if len(parts) != _ID_PARTS:
            raise RefusedError(RefusalReason.UNKNOWN_REQUEST)
        offset = read_number(req, 'last-event-id') or 0
        service, entry_id, tail = parts
        relay = await self._find_answer(
            request_id,
            workspace.name,
            (*self._members.homes_of(service), entry_id),
            offset,
        )
        if tail.startswith(CALL_MARK):
            return await self._replies.call(relay)
        return await self._replies.stream(relay, service, offset)

    async def _find_answer(
        self,
        request_id: str,
        workspace: str,
        nodes: tuple[str, ...],
        offset: int,
    ) -> Relay:
        own = self._entry.relays.get(request_id)
        if own is not None and own.submit.workspace == workspace:
            if own.answer.start <= offset and not own.attached:
                own.has_caller = True
                return own
        tail = request_id.rpartition('.')[2]
        is_call = tail.startswith(CALL_MARK)
        submit = Submit(
            request_id=request_id,
            attempt=1,
            service=request_id.partition('.')[0],
            workspace=workspace,
            service_kind=(
                ServiceKind.APPLICATION if is_call else ServiceKind.MODEL
            ),
            idempotent=True,
            life=self._context.cfg.times.answer_hold,
            path=CHAT_PATH if tail.startswith(CHAT_MARK) else TEXT_PATH,
        )
        for node_id in dict.fromkeys(nodes):
            relay = self._entry.attach(node_id, submit, offset)
            await relay.answer.wait_beyond(offset)
            if not isinstance(relay.answer.outcome, Refused):
                return relay
        raise RefusedError(
            RefusalReason.UNKNOWN_REQUEST,
            run=RunState.UNKNOWN,
        )

    def _authenticate(self, req: Request) -> Workspace:
        scheme, _, token = req.headers.get('authorization', '').partition(' ')
        if scheme.lower() != 'bearer':
            raise RefusedError(RefusalReason.UNAUTHENTICATED)
        workspace = self._catalog.find_workspace(token.strip())
        if workspace is None:
            raise RefusedError(RefusalReason.UNAUTHENTICATED)
        return workspace

    def _admit(self, req: Request) -> Workspace:
        request_id_var.set('')
        if self._context.draining:
            raise RefusedError(RefusalReason.NODE_DRAINING, retry_after=1)
        if not self.is_ready():
            raise RefusedError(RefusalReason.NODE_NOT_READY, retry_after=1)
        if self._entry.load() >= self._context.cfg.limits.open_requests:
            raise RefusedError(RefusalReason.QUEUE_FULL, retry_after=1)
        return self._authenticate(req)

    def _route(self, call: Call) -> tuple[Target, Service]:
        target, service = route(self._catalog, call)
        if service is None:
            raise RefusedError(
                RefusalReason.UNKNOWN_SERVICE,
                f'no service {target.service} for this workspace',
            )
        return target, service

    def _open(self, submit: Submit) -> Relay:
        metrics = self._context.metrics
        metrics.requests.labels(submit.service).inc()
        return self._entry.open(submit)


#: Service, entry node, and mark with a random number.
_ID_PARTS = 3
