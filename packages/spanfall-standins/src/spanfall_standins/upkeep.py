"""Give all upstream stand-ins the same faults, notice and refusal."""

from collections.abc import Callable, Sequence
from dataclasses import fields
from typing import Any

from spanfall_node.upstream_calls import LEAVING_HEADER, NOT_RUN, RUN_HEADER
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from spanfall_standins.faults import Faults, set_faults

_UNAVAILABLE = 503


class Upkeep:
    """Hold the faults of a stand-in and whether its host leaves."""

    def __init__(self, records: Callable[[], Sequence[Any]]) -> None:
        """Show the rows of ``records`` for checks from outside."""
        self.faults = Faults()
        self.leaving: float | None = None
        self._records = records

    def routes(self) -> list[Route]:
        """Return the routes for tests."""
        return [
            Route('/_faults', self.change_faults, methods=['POST']),
            Route('/_leave', self.leave, methods=['POST']),
            Route('/_records', self.show_records),
        ]

    def refuse(self) -> Response:
        """Refuse a request as not run, saying if the host leaves."""
        headers = {RUN_HEADER: NOT_RUN}
        if self.leaving is not None:
            headers[LEAVING_HEADER] = str(self.leaving)
        return JSONResponse(
            {'error': 'no slot'},
            status_code=_UNAVAILABLE,
            headers=headers,
        )

    async def change_faults(self, req: Request) -> Response:
        """Change the faults in force."""
        return await set_faults(self.faults, req)

    async def leave(self, req: Request) -> Response:
        """Refuse new work from now on, as a host that is taken back does."""
        self.leaving = float((await req.json())['seconds'])
        return JSONResponse({'leaving': self.leaving})

    async def show_records(self, req: Request) -> Response:
        """Show all runs, for checks from outside."""
        rows = [
            {column.name: getattr(row, column.name) for column in fields(row)}
            for row in self._records()
        ]
        return JSONResponse({'records': rows})
