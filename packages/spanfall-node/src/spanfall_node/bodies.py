"""Read request bodies within limits of size and time."""

import anyio
from spanfall_api.problems import RefusedError
from spanfall_api.settings import Limits
from spanfall_core.reasons import RefusalReason
from starlette.requests import ClientDisconnect, Request


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


async def _read_chunks(req: Request, most: int) -> bytes:
    chunks = []
    size = 0
    async for chunk in req.stream():
        size += len(chunk)
        if size > most:
            raise RefusedError(RefusalReason.BODY_TOO_LARGE)
        chunks.append(chunk)
    return b''.join(chunks)
