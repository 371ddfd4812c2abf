"""Serve operators: objects, selectors, explanations, fleet and health."""

import logging
from collections.abc import Callable
from typing import Annotated, Any
from uuid import uuid4

from fastapi import (
    Depends,
    FastAPI,
    Header,
    Request,
    Response,
)
from fastapi.responses import JSONResponse, PlainTextResponse
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from pydantic import BaseModel, ConfigDict, ValidationError
from spanfall_api.objects import KINDS
from spanfall_api.problems import RefusedError
from spanfall_api.settings import AdminToken, Role, describe_faults
from spanfall_core.configuration import Edit
from spanfall_core.membership import all_members
from spanfall_core.reasons import RefusalReason, RunState
from spanfall_core.selectors import SelectorError, parse_selector

from spanfall_node.admin_errors import add_error_handlers, refuse_bad
from spanfall_node.bodies import BodyLimit
from spanfall_node.catalog import Catalog, hash_token
from spanfall_node.config_store import (
    ConfigStore,
    ConflictError,
    RacesLostError,
)
from spanfall_node.context import Context
from spanfall_node.keyvalue import StoreError, StoreUncertainError
from spanfall_node.members import Members
from spanfall_node.rules import Call, route

logger = logging.getLogger(__name__)

_CREATED = 201


class ObjectDocument(BaseModel):
    """Name an object to apply with its kind."""

    model_config = ConfigDict(extra='forbid')

    kind: str
    object: dict[str, Any]


class ApplyRequest(BaseModel):
    """Ask for many objects to be put in one accepted revision."""

    model_config = ConfigDict(extra='forbid')

    objects: list[ObjectDocument]
    dry_run: bool = False
    operation_id: str = ''


class SelectRequest(BaseModel):
    """Ask which objects of a kind a selector matches."""

    kind: str
    selector: str


class ExplainRequest(BaseModel):
    """Ask where a request would go."""

    workspace: str
    name: str
    method: str = 'POST'
    path: str = ''
    model: bool = True


class LabelsRequest(BaseModel):
    """Ask for labels to be set, or removed where the value is null."""

    labels: dict[str, str | None]


def check_object(kind: str, document: dict[str, Any]) -> Edit:
    """Return the edit that puts an object, or raise RefusedError."""
    if kind not in KINDS:
        raise RefusedError(RefusalReason.UNKNOWN_OBJECT, f'no kind {kind}')
    try:
        row = KINDS[kind].model_validate(document)
    except ValidationError as exc:
        raise refuse_bad('; '.join(describe_faults(exc))) from exc
    for name in ('upstreams', 'allow', 'workspaces', 'services'):
        text = getattr(row, name, '')
        check_selector(text)
    return Edit(kind, row.name, row.model_dump(mode='json'))


def check_selector(text: str) -> None:
    """Raise RefusedError with the column if a selector does not parse."""
    try:
        parse_selector(text)
    except SelectorError as exc:
        raise RefusedError(
            RefusalReason.BAD_SELECTOR, f'{text!r}: {exc}'
        ) from exc


class Admin:
    """Answer requests on the admin port."""

    def __init__(
        self,
        context: Context,
        catalog: Catalog,
        members: Members,
        config: ConfigStore,
    ) -> None:
        """Serve from the catalog; commit through the configuration store."""
        self.is_ready: Callable[[], bool] = lambda: True
        self.stop: Callable[[], None] = lambda: None
        self._context = context
        self._catalog = catalog
        self._members = members
        self._config = config

    @property
    def body_limit(self) -> int:
        """Return the largest body that is read, in bytes."""
        return self._context.cfg.limits.body_bytes

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count one refusal."""
        self._context.metrics.refusals.labels(reason.value).inc()

    def authenticate(self, req: Request) -> AdminToken:
        """Return the token of a request, or raise RefusedError."""
        scheme, _, token = req.headers.get('authorization', '').partition(' ')
        digest = hash_token(token.strip())
        found = next(
            (
                row
                for row in self._context.cfg.admin.tokens
                if row.token_hash == digest
            ),
            None,
        )
        if found is None or scheme.lower() != 'bearer':
            raise RefusedError(RefusalReason.UNAUTHENTICATED)
        expires_at = found.expires_at
        if expires_at is not None and expires_at < self._context.timers.epoch():
            raise RefusedError(
                RefusalReason.UNAUTHENTICATED,
                'the token has expired',
            )
        return found

    def check_edit(self, token: AdminToken, edits: list[Edit]) -> None:
        """Raise RefusedError if the token may not make these edits."""
        if token.role is Role.VIEWER:
            raise RefusedError(RefusalReason.FORBIDDEN, 'the role is viewer')
        if not token.workspaces or token.role is Role.ADMIN:
            return
        for edit in edits:
            if not self._owns(token, edit):
                raise RefusedError(
                    RefusalReason.FORBIDDEN,
                    f'{edit.kind}/{edit.name} belongs to another team',
                )

    def _owns(self, token: AdminToken, edit: Edit) -> bool:
        if edit.kind == 'workspaces':
            return edit.name in token.workspaces
        stored = self._config.state.objects.get((edit.kind, edit.name))
        documents = [edit.document]
        if stored is not None:
            documents.append(stored.document)
        owners = {
            document.get('labels', {}).get('workspace')
            for document in documents
            if document is not None
        }
        return owners <= set(token.workspaces)

    async def commit(
        self,
        token: AdminToken,
        edits: list[Edit],
        operation_id: str,
    ) -> int:
        """Commit edits and return the revision, or raise RefusedError."""
        self.check_edit(token, edits)
        operation_id = operation_id or uuid4().hex
        try:
            revision = await self._config.accept(
                edits,
                token.name,
                operation_id,
            )
        except ConflictError as exc:
            raise self._describe_conflict(exc) from exc
        except StoreUncertainError as exc:
            raise RefusedError(
                RefusalReason.STORE_UNAVAILABLE,
                f'ask for operation {operation_id} later',
                RunState.UNKNOWN,
                1,
            ) from exc
        except (StoreError, RacesLostError) as exc:
            raise RefusedError(
                RefusalReason.STORE_UNAVAILABLE,
                str(exc),
                retry_after=1,
            ) from exc
        logger.info(
            'audit: %s changed %s in revision %s, operation %s',
            token.name,
            ', '.join(f'{edit.kind}/{edit.name}' for edit in edits),
            revision,
            operation_id,
        )
        return revision

    def _describe_conflict(self, exc: ConflictError) -> RefusedError:
        changed = '; '.join(
            f'{row.kind}/{row.name} is at revision {row.actual}, '
            f'not {row.expected}'
            for row in exc.conflicts
        )
        return RefusedError(RefusalReason.REVISION_CONFLICT, changed)

    def find(self, kind: str, name: str) -> tuple[int, dict[str, Any]]:
        """Return revision and document of an object, or raise RefusedError."""
        stored = self._config.state.objects.get((kind, name))
        if stored is None:
            raise RefusedError(
                RefusalReason.UNKNOWN_OBJECT,
                f'no {kind}/{name}',
            )
        return stored.revision, dict(stored.document)

    def list_kind(self, kind: str) -> list[dict[str, Any]]:
        """Return all objects of a kind with their revisions."""
        if kind not in KINDS:
            raise RefusedError(RefusalReason.UNKNOWN_OBJECT, f'no kind {kind}')
        return [
            {'revision': stored.revision, 'object': dict(stored.document)}
            for (other, _), stored in sorted(self._config.state.objects.items())
            if other == kind
        ]

    def explain(self, ask: ExplainRequest) -> dict[str, Any]:
        """Return where a request would go, and why."""
        workspace = self._catalog.workspaces.get(ask.workspace)
        if workspace is None:
            raise RefusedError(
                RefusalReason.UNKNOWN_OBJECT,
                f'no workspace {ask.workspace}',
            )
        call = Call(workspace, ask.name, ask.method, ask.path, ask.model)
        target, service = route(self._catalog, call)
        upstreams = [] if service is None else self._explain_pool(service.name)
        return {
            'service': target.service,
            'allowed': service is not None,
            'rule': target.rule,
            'idempotent': target.idempotent,
            'priority': target.priority,
            'homes': list(self._members.homes_of(target.service)),
            'upstreams': upstreams,
        }

    def _explain_pool(self, service: str) -> list[dict[str, Any]]:
        names = self._catalog.follow(service)
        return [
            self._catalog.upstreams[name].model_dump(mode='json')
            for name in sorted(names)
        ]

    def fleet(self) -> dict[str, Any]:
        """Return the members as this node knows them."""
        return {
            'node': self._context.node_id,
            'revision': self._config.state.revision,
            'delegate': self._members.delegate or self._context.node_id,
            'members': [
                {
                    'node': member.node_id,
                    'data_centre': member.data_centre,
                    'address': member.address,
                    'draining': member.draining,
                    'incarnation': member.incarnation,
                }
                for member in all_members(self._members.table)
            ],
        }


def parse_etag(text: str | None) -> int:
    """Return the revision of an If-Match header, or raise RefusedError."""
    if text is None:
        raise RefusedError(
            RefusalReason.REVISION_REQUIRED,
            'send If-Match with the ETag of the object, or 0 for a new one',
        )
    digits = text.strip('"')
    if not digits.isdecimal():
        raise refuse_bad('If-Match is not an ETag of this interface')
    return int(digits)


IfMatch = Annotated[str | None, Header(alias='If-Match')]
OperationId = Annotated[str, Header(alias='Idempotency-Key')]


def build_admin_app(admin: Admin) -> FastAPI:
    """Return the ASGI application of the admin port."""
    app = FastAPI(title='spanfall administration', version='1')
    Token = Annotated[AdminToken, Depends(admin.authenticate)]

    add_error_handlers(app, admin.count_refusal)
    app.add_middleware(BodyLimit, most=admin.body_limit)
    add_health_routes(app, admin)
    add_query_routes(app, admin, Token)
    add_object_routes(app, admin, Token)
    return app


def add_health_routes(app: FastAPI, admin: Admin) -> None:
    """Add the routes that need no token: health and metrics."""

    @app.get('/healthz')
    async def health() -> PlainTextResponse:
        return PlainTextResponse('ok\n')

    @app.get('/readyz')
    async def ready() -> PlainTextResponse:
        if admin.is_ready():
            return PlainTextResponse('ready\n')
        return PlainTextResponse('not ready\n', status_code=503)

    @app.get('/metrics')
    async def metrics() -> Response:
        return Response(
            generate_latest(admin._context.metrics.registry),
            media_type=CONTENT_TYPE_LATEST,
        )


def add_query_routes(app: FastAPI, admin: Admin, token_type: Any) -> None:
    """Add the routes that change nothing."""

    @app.get('/admin/v1/fleet')
    async def fleet(token: token_type) -> dict[str, Any]:
        return admin.fleet()

    @app.post('/admin/v1/explain')
    async def explain(
        ask: ExplainRequest,
        token: token_type,
    ) -> dict[str, Any]:
        return admin.explain(ask)

    @app.post('/admin/v1/select')
    async def select(ask: SelectRequest, token: token_type) -> dict[str, Any]:
        check_selector(ask.selector)
        wanted = parse_selector(ask.selector)
        names = [
            row['object']['name']
            for row in admin.list_kind(ask.kind)
            if wanted.matches(row['object']['labels'])
        ]
        return {'kind': ask.kind, 'names': names}

    @app.get('/admin/v1/operations/{operation_id}')
    async def operation(operation_id: str, token: token_type) -> dict[str, Any]:
        revision = admin._config.state.operations.get(operation_id)
        return {'operation_id': operation_id, 'revision': revision}


def add_object_routes(app: FastAPI, admin: Admin, token_type: Any) -> None:
    """Add the routes that read and change objects."""

    @app.post('/admin/v1/apply')
    async def apply(ask: ApplyRequest, token: token_type) -> dict[str, Any]:
        edits = [check_object(row.kind, row.object) for row in ask.objects]
        admin.check_edit(token, edits)
        if ask.dry_run:
            return {'revision': None, 'objects': len(edits)}
        revision = await admin.commit(token, edits, ask.operation_id)
        return {'revision': revision, 'objects': len(edits)}

    @app.post('/admin/v1/drain')
    async def drain(token: token_type) -> dict[str, Any]:
        if token.role is not Role.ADMIN:
            raise RefusedError(RefusalReason.FORBIDDEN, 'the role is not admin')
        logger.info('audit: %s begins a planned stop', token.name)
        admin.stop()
        return {'node': admin._context.node_id, 'draining': True}

    @app.get('/admin/v1/{kind}')
    async def list_objects(kind: str, token: token_type) -> dict[str, Any]:
        return {'objects': admin.list_kind(kind)}

    @app.get('/admin/v1/{kind}/{name}')
    async def read(kind: str, name: str, token: token_type) -> Response:
        revision, document = admin.find(kind, name)
        return JSONResponse(document, headers={'ETag': f'"{revision}"'})

    @app.put('/admin/v1/{kind}/{name}')
    async def put(
        kind: str,
        name: str,
        document: dict[str, Any],
        token: token_type,
        if_match: IfMatch = None,
        operation_id: OperationId = '',
    ) -> Response:
        edit = check_object(kind, {**document, 'name': name})
        expected = parse_etag(if_match)
        checked = Edit(kind, name, edit.document, expected)
        revision = await admin.commit(token, [checked], operation_id)
        return JSONResponse(
            edit.document,
            status_code=_CREATED if expected == 0 else 200,
            headers={'ETag': f'"{revision}"'},
        )

    @app.patch('/admin/v1/{kind}/{name}/labels')
    async def patch_labels(
        kind: str,
        name: str,
        ask: LabelsRequest,
        token: token_type,
        if_match: IfMatch = None,
        operation_id: OperationId = '',
    ) -> Response:
        revision, document = admin.find(kind, name)
        expected = revision if if_match is None else parse_etag(if_match)
        merged = {**document.get('labels', {}), **ask.labels}
        document['labels'] = {
            key: label for key, label in merged.items() if label is not None
        }
        edit = check_object(kind, document)
        checked = Edit(kind, name, edit.document, expected)
        revision = await admin.commit(token, [checked], operation_id)
        return JSONResponse(edit.document, headers={'ETag': f'"{revision}"'})

    @app.delete('/admin/v1/{kind}/{name}')
    async def delete(
        kind: str,
        name: str,
        token: token_type,
        if_match: IfMatch = None,
        operation_id: OperationId = '',
    ) -> Response:
        admin.find(kind, name)
        checked = Edit(kind, name, None, parse_etag(if_match))
        revision = await admin.commit(token, [checked], operation_id)
        return JSONResponse({'revision': revision})
