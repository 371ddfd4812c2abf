"""Carry out dispatches: call upstreams, collect parts, move streams."""

import logging
from collections.abc import Callable
from functools import partial

import anyio
from spanfall_api.completions import EngineOptions
from spanfall_api.frames import Head, Header
from spanfall_core.effects import Dispatch, Move
from spanfall_core.recovery import Failure
from spanfall_core.tables import Pool, RequestState, ServiceKind, Upstream

from spanfall_node.context import Context
from spanfall_node.held import Held
from spanfall_node.log import request_id_var
from spanfall_node.pools import PoolTable
from spanfall_node.upstream_calls import (
    FINISH_EXPORTED,
    RunOutcome,
    UpstreamCalls,
)

logger = logging.getLogger(__name__)

#: Seconds that a move may take before the stream is resumed without it.
MOVE_TIMEOUT = 2.0

RunEnded = Callable[[Held, RunOutcome], None]


class Runs:
    """Start and stop the runs of held requests at upstreams."""

    def __init__(
        self,
        context: Context,
        pools: PoolTable,
        ended: RunEnded,
    ) -> None:
        """Report each run that ended by itself to ``ended``."""
        self.calls = UpstreamCalls(context.cfg.times.connect_timeout)
        self._context = context
        self._pools = pools
        self._ended = ended

    def start(self, pool: Pool, held: Held, effect: Dispatch) -> None:
        """Start the run that was dispatched."""
        if held.row.run != effect.run:
            return
        held.row.state = RequestState.RUNNING
        self._start_task(pool, held, effect.run)

    def stop(self, held: Held) -> None:
        """Cancel the run of a request, closing its connection."""
        if held.scope is not None:
            held.scope.cancel()
            held.scope = None

    def move(self, pool: Pool, held: Held, effect: Move) -> None:
        """Export the stream at its source and go on at the target."""
        self._context.tasks.start_soon(self._move, pool, held, effect)

    async def _move(self, pool: Pool, held: Held, effect: Move) -> None:
        source = pool.upstreams[effect.source_id]
        handle = None
        with anyio.move_on_after(MOVE_TIMEOUT):
            handle = await self.calls.export(source.address, held.request_id)
            if handle is not None:
                await held.ended.wait()
        if held.row.run != effect.run or held.done_at is not None:
            # A later decision has taken the stream over, with its own run.
            return
        self.stop(held)
        if handle is None:
            logger.info('Resuming %s without its cache', held.request_id)
        else:
            pool.moved_tokens += held.row.progress + held.row.prompt_tokens
        held.kv_handle = handle or ''
        held.kv_source = source.address
        self._start_task(pool, held, effect.run)

    def _start_task(self, pool: Pool, held: Held, run: int) -> None:
        upstream = pool.upstreams[held.row.upstream_id]
        self._count_recomputed(pool, held)
        held.scope = anyio.CancelScope()
        held.ended = anyio.Event()
        self._context.tasks.start_soon(
            self._run,
            held,
            upstream,
            run,
            held.scope,
        )

    def _count_recomputed(self, pool: Pool, held: Held) -> None:
        if held.row.run == 1 and not held.row.progress:
            return
        if held.kv_handle or held.row.kind is ServiceKind.APPLICATION:
            return
        again = held.row.prompt_tokens + held.row.progress
        pool.recomputed_tokens += again
        self._context.metrics.recomputed.labels(pool.service).inc(again)

    async def _run(
        self,
        held: Held,
        upstream: Upstream,
        run: int,
        scope: anyio.CancelScope,
    ) -> None:
        request_id_var.set(held.request_id)
        outcome = None
        ended = held.ended
        try:
            with scope:
                outcome = await self._call(held, upstream, scope)
        finally:
            ended.set()
        if outcome is None or held.row.run != run:
            return
        if outcome.finish_reason == FINISH_EXPORTED:
            outcome = RunOutcome(Failure.LEAVING, detail='exported by others')
        if held.row.state is RequestState.RUNNING:
            held.scope = None
            self._ended(held, outcome)

    async def _call(
        self,
        held: Held,
        upstream: Upstream,
        scope: anyio.CancelScope,
    ) -> RunOutcome:
        service = self._pools.service(held.submit.service)
        idle = 20.0 if service is None else service.idle_seconds
        take = partial(self._take, held, scope)
        if held.row.kind is ServiceKind.APPLICATION:
            return await self.calls.call_application(
                upstream.address,
                held.submit,
                idle,
                partial(self._take_head, held),
                take,
            )
        return await self.calls.call_model(
            upstream.address,
            held.submit,
            self._options(held),
            idle,
            take,
        )

    def _options(self, held: Held) -> EngineOptions:
        options = EngineOptions(
            request_id=held.request_id,
            priority=held.row.priority,
            resume=[piece.decode() for piece in held.answer.pieces],
            kv_handle=held.kv_handle,
            kv_source=held.kv_source,
        )
        held.kv_handle = ''
        return options

    def _take_head(
        self,
        held: Held,
        status: int,
        headers: tuple[Header, ...],
    ) -> None:
        held.answer.begin(
            Head(
                request_id=held.request_id,
                attempt=held.row.attempt,
                status=status,
                headers=headers,
            ),
        )
        held.notify()

    async def _take(
        self,
        held: Held,
        scope: anyio.CancelScope,
        pieces: tuple[bytes, ...],
    ) -> None:
        if held.scope is not scope:
            return
        answer = held.answer
        answer.add(answer.offset, pieces)
        held.row.progress = answer.offset
        held.notify()
        await held.wait_window(self._context.cfg.limits.window_pieces)
