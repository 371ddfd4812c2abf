"""Act as home of services: queue, dispatch, recover, and hold answers.

The decisions are those of the core systems; this module keeps their tables,
carries out their effects, and speaks with entries.
"""

import logging
from collections.abc import Callable, Iterable

from pydantic import ValidationError
from spanfall_api.frames import (
    Frame,
    HandBack,
    Submit,
    UpstreamNotice,
)
from spanfall_core.admission import admit
from spanfall_core.claims import Verdict
from spanfall_core.dispatch import complete, finish, run_tick
from spanfall_core.effects import (
    Dispatch,
    Effect,
    Move,
    Refuse,
    Retried,
    Right,
    Stop,
)
from spanfall_core.reasons import RefusalReason, RunState
from spanfall_core.reclaim import evacuate, mark_leaving
from spanfall_core.recovery import run_failed
from spanfall_core.routing import CHOOSERS, record_prefix
from spanfall_core.tables import Pool, UpstreamState

from spanfall_node.catalog import Catalog
from spanfall_node.claim_store import ClaimStore
from spanfall_node.context import Context
from spanfall_node.followers import Followers, refuse_frame
from spanfall_node.handover import Handover
from spanfall_node.held import Held, build_row
from spanfall_node.link import Link
from spanfall_node.load_reports import LoadReports
from spanfall_node.members import Members
from spanfall_node.outcomes import HeldTable
from spanfall_node.pools import PoolTable
from spanfall_node.rights import Rights
from spanfall_node.runs import Runs
from spanfall_node.upstream_calls import RunOutcome

logger = logging.getLogger(__name__)

#: Retry-After of a refusal for want of the store, in seconds.
STORE_RETRY_AFTER = 1.0


class Home:
    """Serve the services whose acting home this node is."""

    def __init__(
        self,
        context: Context,
        catalog: Catalog,
        members: Members,
        claims: ClaimStore,
    ) -> None:
        """Prepare; ``start`` begins to take frames."""
        self.held = HeldTable(context)
        self.pools = PoolTable(context, catalog)
        self.runs = Runs(context, self.pools, self._run_ended)
        self.handover = Handover(context, self.held, self.pools, self.runs)
        self.spread_notice: Callable[[UpstreamNotice], None]
        self.spread_notice = self.upstream_leaves
        self._context = context
        self._rights = Rights(context, claims, self._right_decided)
        self.followers = Followers(
            context,
            members,
            self.held,
            self.handover,
            self._rights,
            self.tick_pool,
        )

    def start(self) -> None:
        """Subscribe to frames, ticks and changes."""
        context = self._context
        links = context.links
        links.subscribe(Submit, self._take_submit)
        self.followers.start()
        context.timers.every(context.cfg.times.tick, self.tick)
        if context.cfg.policy == 'least-reported':
            reports = LoadReports(context, self.pools, self.runs.calls)
            context.tasks.start_soon(reports.run)
        context.timers.every(context.cfg.times.heartbeat, self.held.purge)
        self.pools.changed.append(self.tick_pool)

    def tick(self, now: float) -> None:
        """Run the systems over all pools."""
        for pool in self.pools.all():
            self.tick_pool(pool)

    def tick_pool(self, pool: Pool) -> None:
        """Run the systems over one pool."""
        now = self._context.timers.now()
        choose = CHOOSERS[self._context.cfg.policy]
        self._carry_out(pool, run_tick(pool, now, choose))
        self.pools.observe(pool)

    def upstream_leaves(self, notice: UpstreamNotice) -> None:
        """Stop new work to an upstream and save what runs there."""
        if self._context.is_off('leaving-notice'):
            return
        self.pools.note_leaving(notice)
        now = self._context.timers.now()
        leaves_at = now + notice.seconds
        name = notice.upstream_id
        for pool in self.pools.all():
            if mark_leaving(pool, name, notice.incarnation, leaves_at):
                logger.info('Upstream %s leaves in %s s', name, notice.seconds)
                self._carry_out(pool, evacuate(pool, name, now))
                self.tick_pool(pool)

    def _take_submit(self, link: Link, frame: Frame) -> None:
        if not isinstance(frame, Submit):
            return
        known = self.held.find(frame)
        if frame.keep:
            self.followers.adopt(link, frame)
        elif known:
            self._rebind(known, link, frame)
        elif self._context.draining:
            link.send(
                HandBack(request_id=frame.request_id, attempt=frame.attempt),
            )
        else:
            self._accept(link, frame)

    def _rebind(self, held: Held, link: Link, submit: Submit) -> None:
        """Go on with a request that its entry submits once more."""
        if submit.attempt < held.row.attempt:
            return
        held.row.attempt = submit.attempt
        held.followers.clear()
        held.follow(link, submit.attempt, len(submit.pieces))
        if held.pending is not None and held.pending.right is Right.PERMIT:
            # The question, or its answer, may be lost with the old link.
            self._rights.ask(held, held.pending)

    def _accept(self, link: Link, submit: Submit) -> None:
        now = self._context.timers.now()
        pool = self.pools.find(submit.service)
        if pool is None:
            refuse_frame(link, submit, RefusalReason.UNKNOWN_SERVICE)
            return
        try:
            row = build_row(submit, now)
        except ValidationError as exc:
            logger.info('Refused a body: %s', exc)
            refuse_frame(link, submit, RefusalReason.BAD_REQUEST)
            return
        held = Held(submit, row)
        held.answer.add(0, submit.pieces)
        self.held.rows[submit.request_id] = held
        if submit.upstream:
            record_prefix(pool, row, submit.upstream, now)
        held.follow(link, submit.attempt, len(submit.pieces))
        if link.peer_id == self._context.node_id:
            self.followers.send_copy(held)
        self._carry_out(pool, admit(pool, row, now))
        self.tick_pool(pool)

    def _carry_out(self, pool: Pool, effects: Iterable[Effect]) -> None:
        for effect in effects:
            held = self.held.rows.get(effect.request_id)
            if held is not None:
                self._carry_out_one(pool, held, effect)

    def _carry_out_one(self, pool: Pool, held: Held, effect: Effect) -> None:
        match effect:
            case Dispatch():
                self._rights.ask(held, effect)
            case Refuse():
                self.held.end_refused(held, effect)
            case Stop():
                self.runs.stop(held)
            case Move():
                self.runs.move(pool, held, effect)
            case Retried():
                self._count_retry(held, effect)

    def _count_retry(self, held: Held, effect: Retried) -> None:
        self._context.metrics.retries.labels(effect.reason.value).inc()
        logger.info(
            'Request %s goes back to the queue: %s',
            held.request_id,
            effect.reason.value,
        )

    def _right_decided(
        self,
        held: Held,
        effect: Dispatch,
        verdict: Verdict,
        holder: str,
    ) -> None:
        """Start the run, or end the request, as its right was decided."""
        pool = self.pools.find(held.submit.service)
        if pool is None or held.done_at is not None:
            return
        if verdict is Verdict.GRANTED:
            self.runs.start(pool, held, effect)
            return
        finish(pool, held.row)
        if verdict is Verdict.UNAVAILABLE:
            reason = RefusalReason.STORE_UNAVAILABLE
            self.held.end_refused(
                held,
                Refuse(held.request_id, reason, retry_after=STORE_RETRY_AFTER),
            )
        elif effect.right is Right.CLAIM:
            self._end_duplicate(held, holder)
        else:
            self.held.rows.pop(held.request_id, None)
        self.tick_pool(pool)

    def _end_duplicate(self, held: Held, holder: str) -> None:
        """Give the answer of the first request with the key, if it is here.

        A key that the same request claimed before may have run.
        """
        first = self.held.rows.get(holder)
        if first is not None and first is not held:
            self.held.share(held, first)
            return
        refusal = Refuse(
            held.request_id,
            RefusalReason.DUPLICATE_KEY,
            RunState.UNKNOWN,
        )
        self.held.end_refused(held, refusal)

    def _run_ended(self, held: Held, outcome: RunOutcome) -> None:
        """Decide what follows a run that ended by itself."""
        pool = self.pools.find(held.submit.service)
        if pool is None:
            return
        now = self._context.timers.now()
        if outcome.leaving is not None:
            self._refused_as_leaving(pool, held, outcome.leaving)
        if outcome.failure is None:
            complete(pool, held.row, now)
            self.held.end_whole(held, outcome.finish_reason)
        else:
            self._carry_out(pool, self._recover(pool, held, outcome, now))
        self.tick_pool(pool)

    def _recover(
        self,
        pool: Pool,
        held: Held,
        outcome: RunOutcome,
        now: float,
    ) -> list[Effect]:
        logger.info(
            'Run %s of request %s failed at %s: %s',
            held.row.run,
            held.request_id,
            held.row.upstream_id,
            outcome.detail,
        )
        is_lost = bool(held.row.progress) and self._context.is_off('resume')
        if outcome.failure is None or held.answer.head is not None or is_lost:
            finish(pool, held.row)
            reason = RefusalReason.UPSTREAM_FAILED
            return [Refuse(held.request_id, reason, RunState.UNKNOWN)]
        return run_failed(pool, held.row, outcome.failure, now)

    def _refused_as_leaving(
        self,
        pool: Pool,
        held: Held,
        seconds: float,
    ) -> None:
        """Spread what an upstream said of itself when it refused."""
        row = pool.upstreams.get(held.row.upstream_id)
        if row is None or row.state is not UpstreamState.ACTIVE:
            return
        notice = UpstreamNotice(
            upstream_id=row.upstream_id,
            incarnation=row.incarnation,
            seconds=seconds,
        )
        self.spread_notice(notice)
