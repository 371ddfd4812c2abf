"""Give callers their answers: streamed, whole, or as an application's."""

from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial

import anyio
from spanfall_api.frames import End, Refused
from spanfall_api.problems import RefusedError
from spanfall_core.reasons import RefusalReason, RunState
from starlette.responses import Response, StreamingResponse

from spanfall_node.context import Context
from spanfall_node.entry import Entry
from spanfall_node.relayed import Relay
from spanfall_node.rendering import (
    REQUEST_ID_HEADER,
    make_envelope,
    refusal_of,
    resume_event,
    stream_events,
    whole_completion,
)

EVENT_STREAM = 'text/event-stream'


class Replies:
    """Turn relays into responses.

    Once ``stopping`` is set, streams end with a hint where to go on.
    """

    def __init__(
        self,
        context: Context,
        entry: Entry,
        stopping: anyio.Event,
    ) -> None:
        """Answer through the entry."""
        self._context = context
        self._entry = entry
        self._stopping = stopping

    async def stream(
        self,
        relay: Relay,
        model: str,
        offset: int,
    ) -> Response:
        """Stream a completion as events, from an offset on."""
        await self._first_part(relay, offset)
        path = relay.submit.path
        now = int(self._context.timers.epoch())
        envelope = make_envelope(path, relay.request_id, model, now)
        events = stream_events(
            relay.answer,
            path,
            envelope,
            offset,
            partial(self._entry.note_read, relay),
        )
        return StreamingResponse(
            self._guard(relay, events, offset),
            media_type=EVENT_STREAM,
            headers={
                REQUEST_ID_HEADER: relay.request_id,
                'Cache-Control': 'no-cache',
            },
        )

    async def whole(
        self,
        relay: Relay,
        model: str,
        prompt_tokens: int,
    ) -> Response:
        """Wait for a whole completion and answer it as one document."""
        answer = relay.answer
        await self._first_part(relay, 0)
        while answer.outcome is None:
            offset = answer.offset
            await self._wait_or_stop(relay, offset)
            self._entry.note_read(relay, offset)
        if isinstance(answer.outcome, Refused):
            raise refusal_of(answer.outcome)
        self._count_answer(relay)
        path = relay.submit.path
        now = int(self._context.timers.epoch())
        envelope = make_envelope(path, relay.request_id, model, now)
        return Response(
            whole_completion(answer, path, envelope, prompt_tokens),
            media_type='application/json',
            headers={REQUEST_ID_HEADER: relay.request_id},
        )

    async def call(self, relay: Relay) -> Response:
        """Pass on an application's answer, its body as it arrives."""
        answer = relay.answer
        await answer.wait_head()
        if isinstance(answer.outcome, Refused):
            raise refusal_of(answer.outcome)
        assert answer.head is not None
        reply = StreamingResponse(
            self._body_chunks(relay),
            status_code=answer.head.status,
            headers={REQUEST_ID_HEADER: relay.request_id},
        )
        reply.raw_headers.extend(
            (name.encode('latin-1'), text.encode('latin-1'))
            for name, text in answer.head.headers
        )
        return reply

    async def _body_chunks(self, relay: Relay) -> AsyncIterator[bytes]:
        answer = relay.answer
        offset = answer.start
        while True:
            await answer.wait_beyond(offset)
            for piece in answer.read(offset):
                yield piece
            offset = answer.offset
            self._entry.note_read(relay, offset)
            if isinstance(answer.outcome, End):
                self._count_answer(relay)
                return
            if answer.outcome is not None:
                # Only an abort tells the caller that the body is cut short.
                raise refusal_of(answer.outcome)

    async def _first_part(self, relay: Relay, offset: int) -> None:
        started = self._context.timers.now()
        await self._wait_or_stop(relay, offset)
        elapsed = self._context.timers.now() - started
        service = relay.submit.service
        self._context.metrics.first_token.labels(service).observe(elapsed)
        outcome = relay.answer.outcome
        if isinstance(outcome, Refused) and relay.answer.offset <= offset:
            raise refusal_of(outcome)

    async def _wait_or_stop(self, relay: Relay, offset: int) -> None:
        """Wait for more of the answer; at the end of a drain, refuse."""
        if relay.answer.offset > offset or relay.answer.outcome is not None:
            return
        await first_of(
            partial(relay.answer.wait_beyond, offset),
            self._stopping.wait,
        )
        if relay.answer.offset > offset or relay.answer.outcome is not None:
            return
        raise RefusedError(
            RefusalReason.NODE_DRAINING,
            f'go on at /v1/requests/{relay.request_id}',
            RunState.UNKNOWN,
            1,
        )

    async def _guard(
        self,
        relay: Relay,
        events: AsyncIterator[bytes],
        offset: int,
    ) -> AsyncIterator[bytes]:
        """Yield events; end with a resume hint when the node stops."""
        whole = False
        try:
            async for event in events:
                yield event
                if self._stopping.is_set() and relay.answer.outcome is None:
                    yield resume_event(relay.request_id, relay.answer.offset)
                    whole = True
                    return
            whole = True
            self._count_answer(relay)
        finally:
            if not whole:
                self._caller_left(relay)

    def _caller_left(self, relay: Relay) -> None:
        """Cancel the request unless its caller comes back in time."""
        relay.has_caller = False

        def cancel(now: float) -> None:
            if not relay.has_caller:
                self._entry.cancel(relay)

        self._context.timers.once(self._context.cfg.times.reattach, cancel)

    def _count_answer(self, relay: Relay) -> None:
        metrics = self._context.metrics
        service = relay.submit.service
        if isinstance(relay.answer.outcome, End):
            metrics.answers.labels(service).inc()
            metrics.tokens.labels(service).inc(relay.answer.offset)


async def first_of(*waits: Callable[[], Awaitable[object]]) -> None:
    """Return as soon as one of the waits is over."""
    async with anyio.create_task_group() as tasks:

        async def run(wait: Callable[[], Awaitable[object]]) -> None:
            await wait()
            tasks.cancel_scope.cancel()

        for wait in waits:
            tasks.start_soon(run, wait)
