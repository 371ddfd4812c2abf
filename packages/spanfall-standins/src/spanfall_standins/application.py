"""Stand in for an application worker that records each run by its key."""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from pydantic import BaseModel
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from spanfall_standins.upkeep import Upkeep

_UNAVAILABLE = 503
_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')


class WorkerSpeed(BaseModel):
    """Set the size and pace of a worker; times are seconds."""

    slots: int = 8
    call_seconds: float = 0.02


@dataclass(slots=True)
class CallRecord:
    """Record one run for checks from outside."""

    request_id: str
    key: str
    method: str
    path: str
    at: float = 0.0
    ended: str = 'running'


class Application:
    """Echo calls, after a while, and remember each."""

    def __init__(
        self,
        name: str,
        speed: WorkerSpeed,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start empty, with the given size and pace."""
        self.name = name
        self._clock = clock
        self.speed = speed
        self.records: list[CallRecord] = []
        self.upkeep = Upkeep(lambda: self.records)
        self.running = 0

    def build_app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                *self.upkeep.routes(),
                Route('/v1/load', self.load),
                Route('/{path:path}', self.call, methods=list(_METHODS)),
            ],
        )

    async def call(self, req: Request) -> Response:
        """Run a call once and record it."""
        broken = await self.upkeep.faults.before()
        if broken is not None:
            return broken
        raw = await req.body()
        if self.upkeep.leaving is not None or self.running >= self.speed.slots:
            return self.upkeep.refuse()
        record = CallRecord(
            req.headers.get('spanfall-request-id', 'direct'),
            req.headers.get('idempotency-key', ''),
            req.method,
            req.url.path,
            self._clock(),
        )
        self.records.append(record)
        self.running += 1
        try:
            await anyio.sleep(self.speed.call_seconds)
        finally:
            self.running -= 1
        record.ended = 'done'
        return self.upkeep.faults.after(self._echo(req, raw))

    def _echo(self, req: Request, raw: bytes) -> Response:
        size = int(req.query_params.get('bytes', 0))
        if size:
            return Response(b'x' * size, media_type='text/plain')
        content = {
            'worker': self.name,
            'method': req.method,
            'path': req.url.path,
            'query': req.url.query,
            'body': raw.decode(errors='replace'),
        }
        return Response(json.dumps(content), media_type='application/json')

    async def load(self, req: Request) -> Response:
        """Report how many calls run."""
        return JSONResponse(
            {'running': self.running, 'slots': self.speed.slots},
        )
