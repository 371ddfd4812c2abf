"""Stand in for a model engine with continuous batching.

Tokens are paced by batch steps: each step every running stream gets one
token; a step takes longer as the batch grows. Prefill takes time for each
prompt token that is not in the prefix cache, a bounded table of blocks.
"""

import json
import logging
import time
from collections import OrderedDict
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count

import anyio
import httpx
from pydantic import BaseModel
from spanfall_api.completions import (
    CHARS_PER_TOKEN,
    CHAT_PATH,
    TEXT_PATH,
    ChatRequest,
    EngineOptions,
    TextRequest,
    parse_request,
    token_limit,
)
from spanfall_node.clients import new_http_client
from spanfall_node.held import prefix_blocks
from spanfall_node.upstream_calls import (
    FINISH_EXPORTED,
)
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from spanfall_standins.texts import prompt_seed, token_text
from spanfall_standins.upkeep import Upkeep

logger = logging.getLogger(__name__)

_UNAVAILABLE = 503
_NOT_FOUND = 404
_CONFLICT = 409


class EngineSpeed(BaseModel):
    """Set the size and pace of an engine; times are seconds."""

    slots: int = 8
    prefill_token_seconds: float = 0.0002
    step_seconds: float = 0.02
    step_per_stream: float = 0.001
    cache_blocks: int = 2000


@dataclass(slots=True)
class Stream:
    """Hold one running stream of an engine."""

    request_id: str
    prompt: str
    prompt_tokens: int
    offset: int
    limit: int
    exporting: bool = False
    exported: anyio.Event = field(default_factory=anyio.Event)


@dataclass(slots=True)
class RunRecord:
    """Record one run for checks from outside."""

    request_id: str
    start: int
    computed: int
    at: float = 0.0
    tokens: int = 0
    ended: str = 'running'


class Engine:
    """Serve completions as an engine would, from made-up text."""

    def __init__(
        self,
        name: str,
        speed: EngineSpeed,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start empty, with the given size and pace."""
        self.name = name
        self._clock = clock
        self.speed = speed
        self.records: list[RunRecord] = []
        self.upkeep = Upkeep(lambda: self.records)
        self.streams: dict[str, Stream] = {}
        self.exports: dict[str, Stream] = {}
        self.prefill_total = 0
        #: Tokens at which streams wait, so that a test can act in between.
        self.held_at: int | None = None
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._handles = count(1)

    def build_app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route(CHAT_PATH, self.complete, methods=['POST']),
                Route(TEXT_PATH, self.complete, methods=['POST']),
                Route('/v1/kv/export', self.export, methods=['POST']),
                Route('/v1/kv/import/{handle}', self.hand_over),
                Route('/v1/load', self.load),
                *self.upkeep.routes(),
            ],
        )

    async def complete(self, req: Request) -> Response:
        """Stream a completion, or refuse it as not run."""
        broken = await self.upkeep.faults.before()
        if broken is not None:
            return broken
        raw = await req.body()
        body = parse_request(req.url.path, raw)
        extra = json.loads(raw).get('spanfall', {'request_id': 'direct'})
        options = EngineOptions.model_validate(extra)
        if (
            self.upkeep.leaving is not None
            or len(self.streams) >= self.speed.slots
        ):
            return self.upkeep.refuse()
        stream, record = await self._begin(body, options)
        text = partial(self._event, req.url.path)
        return StreamingResponse(
            self._generate(stream, record, text),
            media_type='text/event-stream',
        )

    async def export(self, req: Request) -> Response:
        """Stop a stream and keep its state under a handle."""
        broken = await self.upkeep.faults.before()
        if broken is not None:
            return broken
        request_id = (await req.json())['request_id']
        stream = self.streams.get(request_id)
        if stream is None:
            return JSONResponse({'error': 'unknown'}, status_code=_NOT_FOUND)
        stream.exporting = True
        with anyio.move_on_after(1):
            await stream.exported.wait()
        if not stream.exported.is_set():
            return JSONResponse({'error': 'busy'}, status_code=_CONFLICT)
        handle = f'{self.name}-{next(self._handles)}'
        self.exports[handle] = stream
        return JSONResponse({'handle': handle, 'tokens': stream.offset})

    async def hand_over(self, req: Request) -> Response:
        """Give exported state to the engine that imports it."""
        stream = self.exports.pop(req.path_params['handle'], None)
        if stream is None or self.upkeep.faults.down:
            return JSONResponse({'error': 'unknown'}, status_code=_NOT_FOUND)
        return JSONResponse({'tokens': stream.prompt_tokens + stream.offset})

    async def load(self, req: Request) -> Response:
        """Report how many streams run."""
        return JSONResponse(
            {'running': len(self.streams), 'slots': self.speed.slots},
        )

    async def _begin(
        self,
        body: ChatRequest | TextRequest,
        options: EngineOptions,
    ) -> tuple[Stream, RunRecord]:
        prompt = body.prompt_text()
        stream = Stream(
            options.request_id,
            prompt,
            len(prompt) // CHARS_PER_TOKEN,
            len(options.resume),
            token_limit(body),
        )
        self.streams[stream.request_id] = stream
        imported = await self._import(options)
        total = stream.prompt_tokens + stream.offset
        computed = max(0, total - max(imported, self._look_up(prompt)))
        self.prefill_total += computed
        record = RunRecord(
            stream.request_id,
            stream.offset,
            computed,
            self._clock(),
        )
        self.records.append(record)
        await anyio.sleep(computed * self.speed.prefill_token_seconds)
        return stream, record

    async def _import(self, options: EngineOptions) -> int:
        if not options.kv_handle:
            return 0
        address = f'{options.kv_source}/v1/kv/import/{options.kv_handle}'
        try:
            async with new_http_client(httpx.Timeout(1)) as client:
                reply = await client.get(address)
        except httpx.HTTPError as exc:
            logger.info('No import: %r', exc)
            return 0
        if reply.is_error:
            return 0
        return int(reply.json()['tokens'])

    def _look_up(self, prompt: str) -> int:
        """Return the cached tokens of a prompt, and cache all of it."""
        blocks = prefix_blocks('', prompt)
        known = 0
        for block in blocks:
            if block not in self._cache:
                break
            known += 1
        for block in blocks:
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self.speed.cache_blocks:
            self._cache.popitem(last=False)
        return known * (len(prompt) // CHARS_PER_TOKEN) // max(1, len(blocks))

    async def _generate(
        self,
        stream: Stream,
        record: RunRecord,
        event: 'EventMaker',
    ) -> AsyncIterator[bytes]:
        seed = prompt_seed(stream.prompt)
        try:
            while stream.offset < stream.limit and not stream.exporting:
                await self._wait_while_held(stream)
                await self._wait_step(record)
                text = token_text(seed, stream.offset)
                stream.offset += 1
                record.tokens += 1
                yield event(text, None)
            reason = FINISH_EXPORTED if stream.exporting else 'length'
            record.ended = reason
            yield event('', reason)
            yield b'data: [DONE]\n\n'
        finally:
            self._end(stream, record)

    def _end(self, stream: Stream, record: RunRecord) -> None:
        if record.ended == 'running':
            record.ended = 'cut'
        stream.exported.set()
        if self.streams.get(stream.request_id) is stream:
            self.streams.pop(stream.request_id)

    async def _wait_while_held(self, stream: Stream) -> None:
        while self.held_at is not None and stream.offset >= self.held_at:
            if stream.exporting or self.upkeep.faults.down:
                return
            await anyio.sleep(self.speed.step_seconds)

    async def _wait_step(self, record: RunRecord) -> None:
        """Wait for the next step of the batch, or break as told."""
        batch = len(self.streams) * self.speed.step_per_stream
        await anyio.sleep(self.speed.step_seconds + batch)
        limit = self.upkeep.faults.cut_after
        is_cut = bool(limit) and record.tokens >= limit
        if self.upkeep.faults.down or is_cut:
            raise ConnectionAbortedError

    def _event(self, path: str, text: str, reason: str | None) -> bytes:
        choice: dict[str, object] = {'index': 0, 'finish_reason': reason}
        if path == CHAT_PATH:
            choice['delta'] = {'content': text}
        else:
            choice['text'] = text
        return f'data: {json.dumps({"choices": [choice]})}\n\n'.encode()


EventMaker = partial[bytes]
