"""Route requests on the admin port."""

import logging
from typing import Annotated, Any

from fastapi import Depends, FastAPI, Header, Response
from fastapi.responses import JSONResponse, PlainTextResponse
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from spanfall_api.problems import RefusedError
from spanfall_api.settings import AdminToken, Role
from spanfall_core.configuration import Edit
from spanfall_core.reasons import RefusalReason
from spanfall_core.selectors import parse_selector

from spanfall_node.admin import Admin, check_object, check_selector
from spanfall_node.admin_errors import add_error_handlers, refuse_bad
from spanfall_node.admin_models import (
    ApplyRequest,
    ExplainRequest,
    LabelsRequest,
    SelectRequest,
)
from spanfall_node.bodies import BodyLimit

logger = logging.getLogger(__name__)

_CREATED = 201


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
            generate_latest(admin.registry),
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
        revision = admin.find_operation(operation_id)
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
        return {'node': admin.node_id, 'draining': True}

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
