"""Call upstreams over HTTP and tell what each failure proves.

A call that may run only once uses a connection of its own: on a reused one,
a close by the upstream cannot be told from a loss after the request.
"""

import json
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import httpx
from httpx_sse import EventSource, SSEError
from spanfall_api.completions import CHAT_PATH, EngineOptions
from spanfall_api.frames import Header, Submit
from spanfall_core.recovery import Failure

from spanfall_node.clients import new_http_client

logger = logging.getLogger(__name__)

#: Header by which an upstream says that it did not run a request.
RUN_HEADER = 'spanfall-run'
NOT_RUN = 'not-run'
#: Header by which an upstream says that its host is leaving, in seconds.
LEAVING_HEADER = 'spanfall-leaving'
FINISH_EXPORTED = 'exported'

_SERVER_ERROR = 500
_SUCCESS = 200

#: Headers that belong to one connection and are not passed on (RFC 9110),
#: and those that our own servers add.
HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'date',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'server',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)

_DELIMITERS = frozenset(('content-length', 'transfer-encoding'))

_NOT_SENT = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)

TakePieces = Callable[[tuple[bytes, ...]], Awaitable[None]]
TakeHead = Callable[[int, tuple[Header, ...]], None]


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """Tell how a run ended: whole, exported, or with a failure."""

    failure: Failure | None = None
    finish_reason: str = 'stop'
    detail: str = ''
    leaving: float | None = None


def classify(exc: Exception) -> RunOutcome:
    """Return what an exception of the HTTP client proves."""
    detail = repr(exc)
    if isinstance(exc, _NOT_SENT):
        return RunOutcome(Failure.CONNECT, detail=detail)
    if isinstance(exc, httpx.TimeoutException):
        return RunOutcome(Failure.TIMEOUT, detail=detail)
    return RunOutcome(Failure.BROKEN, detail=detail)


def read_refusal(reply: httpx.Response) -> RunOutcome | None:
    """Return the refusal of an upstream that did not run the request."""
    if reply.headers.get(RUN_HEADER) != NOT_RUN:
        return None
    leaving = reply.headers.get(LEAVING_HEADER)
    return RunOutcome(
        Failure.REFUSED,
        detail=f'status {reply.status_code}',
        leaving=None if leaving is None else float(leaving),
    )


class UpstreamCalls:
    """Hold the HTTP clients of a node."""

    def __init__(self, connect_timeout: float) -> None:
        """Make a client that does not reuse connections.

        Clients that do are made one an upstream: finding a free connection
        takes time in proportion to all connections of a client.
        """
        self._timeouts = httpx.Timeout(connect_timeout, read=None)
        self._pooled: dict[str, httpx.AsyncClient] = {}
        single = httpx.Limits(
            max_connections=None,
            max_keepalive_connections=0,
        )
        self._single = new_http_client(self._timeouts, single)

    async def close(self) -> None:
        """Close all clients."""
        for client in self._pooled.values():
            await client.aclose()
        await self._single.aclose()

    def pooled(self, address: str) -> httpx.AsyncClient:
        """Return the client that reuses connections to an upstream."""
        client = self._pooled.get(address)
        if client is None:
            client = new_http_client(self._timeouts)
            self._pooled[address] = client
        return client

    async def call_model(
        self,
        address: str,
        submit: Submit,
        options: EngineOptions,
        idle_seconds: float,
        take: TakePieces,
    ) -> RunOutcome:
        """Stream a completion; each event's token text is handed on."""
        body = json.loads(submit.body)
        body['stream'] = True
        body['spanfall'] = options.model_dump()
        try:
            async with self.pooled(address).stream(
                'POST',
                address + submit.path,
                json=body,
                timeout=self._timeout(idle_seconds),
            ) as reply:
                return await self._read_tokens(reply, submit.path, take)
        except (httpx.HTTPError, SSEError, ValueError) as exc:
            return classify(exc)

    async def call_application(
        self,
        address: str,
        submit: Submit,
        idle_seconds: float,
        take_head: TakeHead,
        take: TakePieces,
    ) -> RunOutcome:
        """Pass a call on and hand back status, headers and body."""
        client = self._single
        if submit.idempotent:
            client = self.pooled(address)
        try:
            async with client.stream(
                submit.method,
                address + submit.path,
                headers=list(submit.headers),
                content=submit.body,
                timeout=self._timeout(idle_seconds),
            ) as reply:
                refusal = read_refusal(reply)
                if refusal is not None:
                    return refusal
                take_head(reply.status_code, pass_headers(reply))
                async for chunk in reply.aiter_raw():
                    await take((chunk,))
                return read_end(reply)
        except httpx.HTTPError as exc:
            return classify(exc)

    async def export(self, address: str, request_id: str) -> str | None:
        """Ask an engine to export a run; return the handle, or None."""
        try:
            reply = await self.pooled(address).post(
                f'{address}/v1/kv/export',
                json={'request_id': request_id},
            )
        except httpx.HTTPError as exc:
            logger.info('No export of %s: %r', request_id, exc)
            return None
        if reply.status_code != _SUCCESS:
            return None
        return str(reply.json()['handle'])

    async def read_load(self, address: str) -> float:
        """Return the share of its slots that an engine reports as running."""
        reply = await self.pooled(address).get(f'{address}/v1/load')
        if reply.status_code != _SUCCESS:
            return 0.0
        load = reply.json()
        return float(load['running']) / max(1, load['slots'])

    def _timeout(self, idle_seconds: float) -> httpx.Timeout:
        return httpx.Timeout(
            idle_seconds,
            connect=self._timeouts.connect,
        )

    async def _read_tokens(
        self,
        reply: httpx.Response,
        path: str,
        take: TakePieces,
    ) -> RunOutcome:
        refusal = read_refusal(reply)
        if refusal is not None:
            return refusal
        if reply.status_code != _SUCCESS:
            return await read_error(reply)
        finish = ''
        async for event in EventSource(reply).aiter_sse():
            if event.data == '[DONE]':
                break
            text, reason = read_choice(json.loads(event.data), path)
            if text:
                await take((text.encode(),))
            finish = reason or finish
        if not finish:
            return RunOutcome(Failure.BROKEN, detail='no finish reason')
        return RunOutcome(finish_reason=finish)


def read_end(reply: httpx.Response) -> RunOutcome:
    """Return whether the framing of a response proves that it is complete."""
    has_body = reply.status_code not in {204, 304}
    if reply.request.method == 'HEAD' or not has_body:
        return RunOutcome()
    if _DELIMITERS.isdisjoint(reply.headers):
        detail = 'the response has neither a length nor chunks'
        return RunOutcome(Failure.BROKEN, detail=detail)
    return RunOutcome()


async def read_error(reply: httpx.Response) -> RunOutcome:
    """Return the outcome of an answer with an error status."""
    raw = await reply.aread()
    retryable = reply.status_code >= _SERVER_ERROR
    return RunOutcome(
        Failure.ERROR if retryable else None,
        finish_reason='error',
        detail=raw.decode(errors='replace'),
    )


def read_choice(chunk: dict[str, Any], path: str) -> tuple[str, str]:
    """Return token text and finish reason of one streamed event."""
    choices = chunk.get('choices') or [{}]
    choice = choices[0]
    if path == CHAT_PATH:
        text = choice.get('delta', {}).get('content') or ''
    else:
        text = choice.get('text') or ''
    return text, choice.get('finish_reason') or ''


def pass_headers(reply: httpx.Response) -> tuple[Header, ...]:
    """Return the headers of an answer that may be passed on."""
    return tuple(
        (name, text)
        for name, text in reply.headers.multi_items()
        if name not in HOP_HEADERS
    )
