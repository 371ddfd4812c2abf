"""Read request bodies within limits of size and time."""

from collections import deque

import anyio
from spanfall_api.problems import RefusedError
from spanfall_api.settings import Limits
from spanfall_core.reasons import RefusalReason
from starlette.requests import ClientDisconnect, Request
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from spanfall_node.rendering import render_problem


async def read_body(req: Request, limits: Limits) -> bytes:
    """Return the body, or raise RefusedError."""
    declared = req.headers.get('content-length', '0')
    if declared.isdecimal() and int(declared) > limits.body_bytes:
        raise RefusedError(RefusalReason.BODY_TOO_LARGE)
    try:
        with anyio.fail_after(limits.body_seconds):
            return await _read_chunks(req, limits.body_bytes)
    except TimeoutError as exc:
        raise RefusedError(RefusalReason.BODY_TIMEOUT) from exc
    except ClientDisconnect as exc:
        raise RefusedError(RefusalReason.CANCELLED) from exc


class BodyLimit:
    """Refuse bodies over a size, before an application reads them."""

    def __init__(self, app: ASGIApp, most: int) -> None:
        """Pass requests of at most so many bytes on to the application."""
        self._app = app
        self._most = most

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request; a body over the limit ends it with a 413."""
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
            return
        chunks: list[Message] = []
        size = 0
        is_whole = False
        while not is_whole:
            message = await receive()
            chunks.append(message)
            size += len(message.get('body', b''))
            is_whole = not message.get('more_body', False)
            if size > self._most:
                exc = RefusedError(RefusalReason.BODY_TOO_LARGE)
                await render_problem(exc)(scope, receive, send)
                return
        waiting = deque(chunks)

        async def replay() -> Message:
            return waiting.popleft() if waiting else await receive()

        await self._app(scope, replay, send)


async def _read_chunks(req: Request, most: int) -> bytes:
    chunks = []
    size = 0
    async for chunk in req.stream():
        size += len(chunk)
        if size > most:
            raise RefusedError(RefusalReason.BODY_TOO_LARGE)
        chunks.append(chunk)
    return b''.join(chunks)
