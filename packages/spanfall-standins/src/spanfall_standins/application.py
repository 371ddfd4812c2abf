"""Stand in for an application worker that records each run by its key."""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from pydantic import BaseModel
from spanfall_node.upstream_calls import (
    LEAVING_HEADER,
    NOT_RUN,
    RUN_HEADER,
)
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from spanfall_standins.faults import Faults, set_faults

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
        self.faults = Faults()
        self.records: list[CallRecord] = []
        self.leaving: float | None = None
        self.running = 0

    def build_app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route('/_faults', self.change_faults, methods=['POST']),
                Route('/_leave', self.leave, methods=['POST']),
                Route('/_records', self.show_records),
                Route('/v1/load', self.load),
                Route('/{path:path}', self.call, methods=list(_METHODS)),
            ],
        )

    async def call(self, req: Request) -> Response:
        """Run a call once and record it."""
        broken = await self.faults.before()
        if broken is not None:
            return broken
        raw = await req.body()
        if self.leaving is not None or self.running >= self.speed.slots:
            return self._refuse()
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
        return self.faults.after(self._echo(req, raw))

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

    def _refuse(self) -> Response:
        headers = {RUN_HEADER: NOT_RUN}
        if self.leaving is not None:
            headers[LEAVING_HEADER] = str(self.leaving)
        return JSONResponse(
            {'error': 'busy'},
            status_code=_UNAVAILABLE,
            headers=headers,
        )

    async def load(self, req: Request) -> Response:
        """Report how many calls run."""
        return JSONResponse(
            {'running': self.running, 'slots': self.speed.slots},
        )

    async def change_faults(self, req: Request) -> Response:
        """Change the faults in force."""
        return await set_faults(self.faults, req)

    async def leave(self, req: Request) -> Response:
        """Refuse new work from now on."""
        self.leaving = float((await req.json())['seconds'])
        return JSONResponse({'leaving': self.leaving})

    async def show_records(self, req: Request) -> Response:
        """Show all runs, for checks from outside."""
        rows = [
            {
                'request_id': row.request_id,
                'key': row.key,
                'method': row.method,
                'path': row.path,
                'ended': row.ended,
            }
            for row in self.records
        ]
        return JSONResponse({'records': rows})
