"""Act as home of services: queue, dispatch, recover, and hold answers.

The decisions are those of the core systems; this module keeps their tables,
carries out their effects, and speaks with entries.
"""

import logging
from collections.abc import Callable, Iterable

from pydantic import ValidationError
from spanfall_api.frames import (
    AskPermit,
    Attach,
    Cancel,
    Credit,
    End,
    Frame,
    HandBack,
    Permit,
    Refused,
    Submit,
    UpstreamNotice,
)
from spanfall_core.admission import admit
from spanfall_core.claims import Claim, Verdict
from spanfall_core.dispatch import (
    complete,
    finish,
    remove_queued,
    run_tick,
)
from spanfall_core.effects import (
    Dispatch,
    Effect,
    Move,
    Refuse,
    Retried,
    Right,
    Stop,
)
from spanfall_core.reasons import RefusalReason, RetryReason, RunState
from spanfall_core.reclaim import evacuate, mark_leaving
from spanfall_core.recovery import run_failed
from spanfall_core.tables import Pool, RequestState, UpstreamState

from spanfall_node.catalog import Catalog, hash_token
from spanfall_node.claim_store import ClaimStore
from spanfall_node.context import Context
from spanfall_node.held import Held, build_row
from spanfall_node.links import Link
from spanfall_node.members import Members
from spanfall_node.pools import PoolTable
from spanfall_node.runs import Runs
from spanfall_node.upstream_calls import RunOutcome

logger = logging.getLogger(__name__)

Adopter = Callable[[Link, Submit], None]


def ignore_copy(link: Link, submit: Submit) -> None:
    """Drop the copy of a request, where no entry takes such copies."""


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
        self.held: dict[str, Held] = {}
        self.adopt: Adopter = ignore_copy
        self.pools = PoolTable(context, catalog)
        self.runs = Runs(context, self.pools, self._run_ended)
        self._context = context
        self._members = members
        self._claims = claims

    def start(self) -> None:
        """Subscribe to frames, ticks and changes."""
        context = self._context
        links = context.links
        links.subscribe(Submit, self._take_submit)
        links.subscribe(Cancel, self._take_cancel)
        links.subscribe(Credit, self._take_credit)
        links.subscribe(Permit, self._take_permit)
        links.subscribe(Attach, self._take_attach)
        links.subscribe(UpstreamNotice, self._take_notice)
        links.on_lost(self._lose_link)
        context.timers.every(context.cfg.times.tick, self.tick)
        context.timers.every(context.cfg.times.heartbeat, self._purge)
        self.pools.changed.append(self.tick_pool)

    def tick(self, now: float) -> None:
        """Run the systems over all pools."""
        for pool in self.pools.all():
            self.tick_pool(pool)

    def tick_pool(self, pool: Pool) -> None:
        """Run the systems over one pool."""
        self._carry_out(pool, run_tick(pool, self._context.timers.now()))
        self.pools.observe(pool)

    def load(self) -> int:
        """Return how many requests have no outcome yet."""
        return sum(row.done_at is None for row in self.held.values())

    def hand_back_queued(self) -> None:
        """Return what is not running to its entries, for another home."""
        for held in list(self.held.values()):
            if held.row.state is RequestState.QUEUED and not held.done_at:
                self._hand_back(held)

    def hand_back_running(self) -> None:
        """Return streams that can be resumed to their entries."""
        for held in list(self.held.values()):
            can_move = held.row.idempotent and held.done_at is None
            if can_move and held.answer.head is None:
                self._hand_back(held)

    def upstream_leaves(self, notice: UpstreamNotice) -> None:
        """Stop new work to an upstream and save what runs there."""
        if self._context.is_off('leaving-notice'):
            return
        now = self._context.timers.now()
        leaves_at = now + notice.seconds
        for pool in self.pools.all():
            name = notice.upstream_id
            if mark_leaving(pool, name, notice.incarnation, leaves_at):
                logger.info('Upstream %s leaves in %s s', name, notice.seconds)
                self._carry_out(pool, evacuate(pool, name, now))
                self.tick_pool(pool)

    def _take_submit(self, link: Link, frame: Frame) -> None:
        if not isinstance(frame, Submit):
            return
        if frame.keep:
            self.adopt(link, frame)
            return
        known = self.held.get(frame.request_id)
        if known is not None:
            self._rebind(known, link, frame)
            return
        if self._context.draining:
            link.send(
                HandBack(request_id=frame.request_id, attempt=frame.attempt),
            )
            return
        self._accept(link, frame)

    def _rebind(self, held: Held, link: Link, submit: Submit) -> None:
        """Go on with a request that its entry submits once more."""
        if submit.attempt < held.row.attempt:
            return
        held.row.attempt = submit.attempt
        held.followers.clear()
        held.follow(link, submit.attempt, len(submit.pieces))

    def _accept(self, link: Link, submit: Submit) -> None:
        now = self._context.timers.now()
        pool = self.pools.find(submit.service)
        if pool is None:
            self._refuse(link, submit, RefusalReason.UNKNOWN_SERVICE)
            return
        try:
            row = build_row(submit, now)
        except ValidationError as exc:
            logger.info('Refused a body: %s', exc)
            self._refuse(link, submit, RefusalReason.BAD_REQUEST)
            return
        held = Held(submit, row)
        held.answer.add(0, submit.pieces)
        self.held[submit.request_id] = held
        held.follow(link, submit.attempt, len(submit.pieces))
        if link.peer_id == self._context.node_id:
            self._send_copy(held)
        self._carry_out(pool, admit(pool, row, now))
        self.tick_pool(pool)

    def _send_copy(self, held: Held) -> None:
        """Keep a second copy at the next home, if the entry is here, too.

        The copy follows the answer as an entry without a caller would.
        """
        if self._context.is_off('two-copies'):
            return
        others = [
            node_id
            for node_id in self._members.homes_of(held.submit.service)
            if node_id != self._context.node_id
        ]
        if others:
            link = self._context.links.open(others[0])
            link.send(held.submit.model_copy(update={'keep': True}))
            held.follow(link, held.submit.attempt, len(held.submit.pieces))

    def _refuse(
        self,
        link: Link,
        submit: Submit,
        reason: RefusalReason,
    ) -> None:
        link.send(
            Refused(
                request_id=submit.request_id,
                attempt=submit.attempt,
                reason=reason,
                run=RunState.NOT_RUN,
            ),
        )

    def _carry_out(self, pool: Pool, effects: Iterable[Effect]) -> None:
        for effect in effects:
            held = self.held.get(effect.request_id)
            if held is not None:
                self._carry_out_one(pool, held, effect)

    def _carry_out_one(self, pool: Pool, held: Held, effect: Effect) -> None:
        match effect:
            case Dispatch():
                self._dispatch(pool, held, effect)
            case Refuse():
                self._end_refused(held, effect)
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

    def _dispatch(self, pool: Pool, held: Held, effect: Dispatch) -> None:
        if effect.right is Right.NONE or self._is_permit_off(effect):
            self.runs.start(pool, held, effect)
            return
        held.pending = effect
        if effect.right is Right.CLAIM:
            self._ask_claim(held)
            return
        follower = next(iter(held.followers.values()), None)
        if follower is not None:
            follower.link.send(
                AskPermit(
                    request_id=held.request_id,
                    attempt=held.row.attempt,
                ),
            )

    def _is_permit_off(self, effect: Dispatch) -> bool:
        is_permit = effect.right is Right.PERMIT
        return is_permit and self._context.is_off('permits')

    def _ask_claim(self, held: Held) -> None:
        submit = held.submit
        key = hash_token(
            f'{submit.workspace}\0{submit.service}\0{submit.key}',
        )
        claim = Claim(key, held.request_id, self._context.timers.epoch())

        def tell(verdict: Verdict, holder: str) -> None:
            self._claim_answered(held, verdict, holder)

        self._claims.ask(submit.service, claim, tell)

    def _claim_answered(
        self,
        held: Held,
        verdict: Verdict,
        holder: str,
    ) -> None:
        pool = self.pools.find(held.submit.service)
        pending = held.pending
        held.pending = None
        if pool is None or pending is None or held.done_at is not None:
            return
        if verdict is Verdict.GRANTED:
            self.runs.start(pool, held, pending)
            return
        finish(pool, held.row)
        if verdict is Verdict.UNAVAILABLE:
            reason = RefusalReason.STORE_UNAVAILABLE
            refusal = Refuse(held.request_id, reason, retry_after=1)
            self._end_refused(held, refusal)
        else:
            self._end_duplicate(held, holder)
        self.tick_pool(pool)

    def _end_duplicate(self, held: Held, holder: str) -> None:
        """Give the answer of the first request with the key, if it is here.

        A key that the same request claimed before may have run.
        """
        first = self.held.get(holder)
        if first is not None and first is not held:
            followers = list(held.followers.values())
            self._share_answer(held, first)
            for follower in followers:
                held.follow(follower.link, follower.attempt, 0)
            return
        refusal = Refuse(
            held.request_id,
            RefusalReason.DUPLICATE_KEY,
            RunState.UNKNOWN,
        )
        self._end_refused(held, refusal)

    def _share_answer(self, held: Held, first: Held) -> None:
        held.done_at = self._context.timers.now()
        self._context.tasks.start_soon(self._copy_answer, held, first)

    async def _copy_answer(self, held: Held, first: Held) -> None:
        offset = 0
        source = first.answer
        while True:
            await source.wait_beyond(offset)
            if source.head is not None:
                head = source.head.model_copy(
                    update={'request_id': held.request_id},
                )
                held.answer.set_head(head)
            held.answer.add(offset, tuple(source.read(offset)))
            offset = source.offset
            if source.outcome is not None:
                break
            held.notify()
        outcome = source.outcome.model_copy(
            update={'request_id': held.request_id},
        )
        self._end(held, outcome)

    def _run_ended(self, held: Held, outcome: RunOutcome) -> None:
        """Decide what follows a run that ended by itself."""
        pool = self.pools.find(held.submit.service)
        if pool is None:
            return
        now = self._context.timers.now()
        if outcome.leaving is not None:
            self._refused_as_leaving(pool, held, outcome.leaving)
        if outcome.failure is None:
            self._end_answered(pool, held, outcome, now)
        else:
            effects = self._recover(pool, held, outcome, now)
            self._carry_out(pool, effects)
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
        assert outcome.failure is not None
        if held.answer.head is not None:
            finish(pool, held.row)
            reason = RefusalReason.UPSTREAM_FAILED
            return [Refuse(held.request_id, reason, RunState.UNKNOWN)]
        if held.row.progress and self._context.is_off('resume'):
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
        row = pool.upstreams.get(held.row.upstream_id)
        if row is None or row.state is not UpstreamState.ACTIVE:
            return
        notice = UpstreamNotice(
            upstream_id=row.upstream_id,
            incarnation=row.incarnation,
            seconds=seconds,
        )
        self.upstream_leaves(notice)
        for link in self._context.links.peers():
            link.send(notice)

    def _end_answered(
        self,
        pool: Pool,
        held: Held,
        outcome: RunOutcome,
        now: float,
    ) -> None:
        complete(pool, held.row, now)
        self._end(
            held,
            End(
                request_id=held.request_id,
                attempt=held.row.attempt,
                offset=held.answer.offset,
                finish_reason=outcome.finish_reason,
            ),
        )

    def _end_refused(self, held: Held, effect: Refuse) -> None:
        self._end(
            held,
            Refused(
                request_id=held.request_id,
                attempt=held.row.attempt,
                reason=effect.reason,
                run=effect.run_state,
                retry_after=effect.retry_after,
            ),
        )

    def _end(self, held: Held, outcome: End | Refused) -> None:
        held.answer.finish(outcome)
        held.row.state = RequestState.DONE
        held.done_at = self._context.timers.now()
        held.notify()

    def _hand_back(self, held: Held) -> None:
        pool = self.pools.find(held.submit.service)
        if pool is not None:
            self._withdraw(pool, held)
        frame = HandBack(
            request_id=held.request_id,
            attempt=held.row.attempt,
        )
        self.held.pop(held.request_id, None)
        for follower in held.followers.values():
            for last in held.frames_for(follower):
                follower.link.send(last)
            follower.link.send(
                frame.model_copy(update={'attempt': follower.attempt}),
            )
        reason = RetryReason.HOME_DRAINING
        self._context.metrics.retries.labels(reason.value).inc()

    def _withdraw(self, pool: Pool, held: Held) -> None:
        if held.row.request_id not in pool.requests:
            return
        if held.row.state is RequestState.QUEUED:
            remove_queued(pool, held.row)
        self.runs.stop(held)
        held.pending = None
        finish(pool, held.row)

    def _take_cancel(self, link: Link, frame: Frame) -> None:
        held = self._find(frame)
        if held is None or held.done_at is not None:
            return
        if not held.row.idempotent:
            return
        pool = self.pools.find(held.submit.service)
        if pool is not None:
            self._withdraw(pool, held)
            reason = RefusalReason.CANCELLED
            refusal = Refuse(held.request_id, reason, RunState.UNKNOWN)
            self._end_refused(held, refusal)
            self.tick_pool(pool)

    def _take_credit(self, link: Link, frame: Frame) -> None:
        held = self._find(frame)
        if held is not None and isinstance(frame, Credit):
            held.take_credit(link.peer_id, frame.offset)

    def _take_permit(self, link: Link, frame: Frame) -> None:
        held = self._find(frame)
        if held is None or not isinstance(frame, Permit):
            return
        pending = held.pending
        held.pending = None
        pool = self.pools.find(held.submit.service)
        if pending is None or pool is None:
            return
        if frame.granted and frame.attempt == held.row.attempt:
            self.runs.start(pool, held, pending)
            return
        self.held.pop(held.request_id, None)
        finish(pool, held.row)
        self.tick_pool(pool)

    def _take_attach(self, link: Link, frame: Frame) -> None:
        held = self._find(frame)
        if not isinstance(frame, Attach):
            return
        if held is not None and held.submit.workspace == frame.workspace:
            held.follow(link, frame.attempt, frame.offset)
        else:
            link.send(
                Refused(
                    request_id=frame.request_id,
                    attempt=frame.attempt,
                    reason=RefusalReason.UNKNOWN_REQUEST,
                    run=RunState.UNKNOWN,
                ),
            )

    def _take_notice(self, link: Link, frame: Frame) -> None:
        if isinstance(frame, UpstreamNotice):
            self.upstream_leaves(frame)

    def _find(self, frame: Frame) -> Held | None:
        request_id: str = getattr(frame, 'request_id', '')
        return self.held.get(request_id)

    def _lose_link(self, link: Link) -> None:
        for held in list(self.held.values()):
            if held.drop_link(link):
                self._lose_entry(held)

    def _lose_entry(self, held: Held) -> None:
        """Give up what needs its entry's permit; finish everything else."""
        if held.done_at is not None or held.row.idempotent or held.row.key:
            return
        if held.row.state is RequestState.RUNNING:
            return
        pool = self.pools.find(held.submit.service)
        if pool is not None:
            self._withdraw(pool, held)
        self.held.pop(held.request_id, None)

    def _purge(self, now: float) -> None:
        oldest = now - self._context.cfg.times.answer_hold
        old = [
            request_id
            for request_id, held in self.held.items()
            if held.done_at is not None and held.done_at < oldest
        ]
        for request_id in old:
            self.held.pop(request_id)
