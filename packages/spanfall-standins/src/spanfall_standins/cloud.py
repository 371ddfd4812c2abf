"""Stand in for the cloud interface and the lagging host list."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from pydantic import BaseModel
from spanfall_node.cloud import CloudError, HostRow, Notice
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

ReadRows = Callable[[], Awaitable[Sequence[BaseModel]]]
Endpoint = Callable[[Request], Awaitable[Response]]


@dataclass(slots=True)
class Reclaim:
    """Hold when a host was announced to go, and when it goes."""

    incarnation: int
    announced_at: float
    leaves_at: float


class Cloud:
    """Announce reclaims: at once as notices, and later in the host list."""

    def __init__(
        self,
        clock: Callable[[], float],
        list_lag: float = 5.0,
    ) -> None:
        """Start without reclaims; the host list lags by ``list_lag``."""
        self.down = False
        self.silent = False
        self._clock = clock
        self._lag = list_lag
        self._reclaims: dict[str, Reclaim] = {}

    def build_app(self) -> Starlette:
        """Return the ASGI application of both interfaces."""
        return Starlette(
            routes=[
                Route('/v1/notices', self._show(self.notices)),
                Route('/v1/hosts', self._show(self.hosts)),
            ],
        )

    def announce(self, upstream: str, incarnation: int, seconds: float) -> None:
        """Announce that a host goes in so many seconds."""
        now = self._clock()
        self._reclaims[upstream] = Reclaim(incarnation, now, now + seconds)

    async def notices(self) -> list[Notice]:
        """Return the notices in force; none while ``silent``."""
        self._check()
        if self.silent:
            return []
        now = self._clock()
        return [
            Notice(
                upstream=name,
                incarnation=row.incarnation,
                seconds=max(0, row.leaves_at - now),
            )
            for name, row in self._reclaims.items()
        ]

    async def hosts(self) -> list[HostRow]:
        """Return the hosts that the list shows as leaving by now."""
        self._check()
        now = self._clock()
        return [
            HostRow(
                upstream=name,
                incarnation=row.incarnation,
                state='leaving',
                seconds=max(0, row.leaves_at - now),
            )
            for name, row in self._reclaims.items()
            if row.announced_at + self._lag <= now
        ]

    def _show(self, read: ReadRows) -> Endpoint:
        async def endpoint(req: Request) -> Response:
            try:
                rows = await read()
            except CloudError as exc:
                return JSONResponse({'error': str(exc)}, status_code=503)
            return JSONResponse([row.model_dump() for row in rows])

        return endpoint

    def _check(self) -> None:
        if self.down:
            raise CloudError('down')
