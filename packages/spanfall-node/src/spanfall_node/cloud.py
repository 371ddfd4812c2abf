"""Define the port to the platform's cloud interface and host list.

Both are read over HTTP as JSON. Notices come from the cloud interface at
once; the host list lags, but names hosts whose notice was missed.
"""

from typing import Literal, Protocol, TypeVar

import httpx
from pydantic import BaseModel, TypeAdapter, ValidationError

Rows = TypeVar('Rows')


class CloudError(Exception):
    """Tell that the cloud interface or the host list did not answer."""


class Notice(BaseModel):
    """Announce that the host of an upstream is taken back."""

    upstream: str
    incarnation: int
    seconds: float


class HostRow(BaseModel):
    """Describe the host of an upstream in the lagging list."""

    upstream: str
    incarnation: int
    state: Literal['live', 'leaving']
    seconds: float = 0.0


_NOTICES = TypeAdapter(list[Notice])
_HOSTS = TypeAdapter(list[HostRow])


class CloudPort(Protocol):
    """Say what spanfall reads of the platform about hosts."""

    async def notices(self) -> list[Notice]:
        """Return the notices in force, or raise CloudError."""

    async def hosts(self) -> list[HostRow]:
        """Return the list of hosts, or raise CloudError."""


class HttpCloud:
    """Implement the port over HTTP; an empty address means not there."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        cloud_url: str,
        host_list_url: str,
    ) -> None:
        """Keep the addresses."""
        self._client = client
        self._cloud_url = cloud_url.rstrip('/')
        self._host_list_url = host_list_url.rstrip('/')

    async def notices(self) -> list[Notice]:
        """Return the notices in force, or raise CloudError."""
        if not self._cloud_url:
            return []
        raw = await self._get(f'{self._cloud_url}/v1/notices')
        return parse(_NOTICES, raw)

    async def hosts(self) -> list[HostRow]:
        """Return the list of hosts, or raise CloudError."""
        if not self._host_list_url:
            return []
        raw = await self._get(f'{self._host_list_url}/v1/hosts')
        return parse(_HOSTS, raw)

    async def _get(self, url: str) -> bytes:
        try:
            reply = await self._client.get(url)
            reply.raise_for_status()
        except httpx.HTTPError as exc:
            raise CloudError(str(exc)) from exc
        return reply.content


def parse(adapter: TypeAdapter[Rows], raw: bytes) -> Rows:
    """Return the rows of an answer, or raise CloudError."""
    try:
        return adapter.validate_json(raw)
    except ValidationError as exc:
        raise CloudError(str(exc)) from exc
