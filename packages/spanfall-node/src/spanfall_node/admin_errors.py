"""Render all refusals of the admin port as problem documents."""

from collections.abc import Callable

from fastapi import FastAPI, Request, Response
from fastapi.exception_handlers import http_exception_handler
from fastapi.exceptions import RequestValidationError
from spanfall_api.problems import RefusedError
from spanfall_core.reasons import RefusalReason
from starlette.exceptions import HTTPException

from spanfall_node.rendering import render_problem

_BAD_REQUEST = 400


def refuse_bad(detail: str) -> RefusedError:
    """Return the refusal of a malformed request."""
    return RefusedError(RefusalReason.BAD_REQUEST, detail)


def add_error_handlers(
    app: FastAPI,
    count: Callable[[RefusalReason], None],
) -> None:
    """Render refusals of ours and of the framework, and count them."""

    @app.exception_handler(RefusedError)
    async def refuse(req: Request, exc: RefusedError) -> Response:
        count(exc.reason)
        return render_problem(exc)

    @app.exception_handler(RequestValidationError)
    async def refuse_body(
        req: Request,
        exc: RequestValidationError,
    ) -> Response:
        faults = '; '.join(
            '{0}: {1}'.format('.'.join(map(str, row['loc'])), row['msg'])
            for row in exc.errors()
        )
        return await refuse(req, refuse_bad(faults))

    @app.exception_handler(HTTPException)
    async def refuse_http(req: Request, exc: HTTPException) -> Response:
        if exc.status_code == _BAD_REQUEST:
            return await refuse(req, refuse_bad(str(exc.detail)))
        return await http_exception_handler(req, exc)
