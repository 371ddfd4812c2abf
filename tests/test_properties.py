"""Check invariants of the core under random faults in virtual time."""

import os
from collections import Counter

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from spanfall_core.admission import admit
from spanfall_core.dispatch import complete, run_tick
from spanfall_core.effects import (
    Dispatch,
    Effect,
    Move,
    Refuse,
    Retried,
    Stop,
)
from spanfall_core.reasons import RunState
from spanfall_core.reclaim import evacuate, mark_gone, mark_leaving
from spanfall_core.recovery import PROVEN_NOT_RUN, Failure, run_failed
from spanfall_core.tables import (
    Pool,
    Request,
    RequestState,
    ServiceKind,
    Upstream,
    UpstreamState,
    Workspace,
)
from spanfall_core.upstreams import put_upstream

UPSTREAMS = 4
SLOTS = 2
#: Steps per example. Example: SPANFALL_STEPS=500 pytest tests/test_properties.py
STEPS = int(os.environ.get('SPANFALL_STEPS', '60'))
EXAMPLES = int(os.environ.get('SPANFALL_EXAMPLES', '60'))

numbers = strategies.integers(0, UPSTREAMS - 1)
choices = strategies.integers(0, 50)


class PoolMachine(RuleBasedStateMachine):
    """Admit, dispatch, fail, reclaim and complete requests in any order."""

    def __init__(self) -> None:
        """Start with a pool of a few small upstreams."""
        super().__init__()
        self.now = 0.0
        self.count = 0
        self.pool = Pool('service')
        self.pool.policy.max_queued = 10
        self.pool.workspaces['a'] = Workspace('a', weight=2, max_running=5)
        self.pool.workspaces['b'] = Workspace('b', rate=5, burst=5, bucket=5)
        self.admitted: dict[str, Request] = {}
        self.ended: Counter[str] = Counter()
        self.may_have_run: Counter[str] = Counter()
        self.incarnation = 1
        for number in range(UPSTREAMS):
            self.put(number)

    def put(self, number: int) -> None:
        """Put an upstream with the current incarnation into the pool."""
        row = Upstream(
            f'u{number}',
            'http://x',
            'dc',
            slots=SLOTS,
            incarnation=self.incarnation,
        )
        put_upstream(self.pool, row, self.now)

    def apply_effects(self, effects: list[Effect]) -> None:
        """Carry out effects as a node does, and check each."""
        for effect in effects:
            match effect:
                case Dispatch():
                    self.check_dispatch(effect)
                case Refuse():
                    self.check_refusal(effect)
                case Move() | Stop():
                    self.may_have_run[effect.request_id] += 1
                    assert not self.ended[effect.request_id]
                case Retried():
                    assert not self.ended[effect.request_id]

    def check_dispatch(self, effect: Dispatch) -> None:
        """Check that the request may be dispatched to that upstream."""
        req = self.admitted[effect.request_id]
        row = self.pool.upstreams[effect.upstream_id]
        assert not self.ended[effect.request_id]
        assert row.state is UpstreamState.ACTIVE
        assert req.idempotent or not self.may_have_run[effect.request_id]
        req.state = RequestState.RUNNING

    def check_refusal(self, effect: Refuse) -> None:
        """Count the end of the request; check that NOT_RUN is correct."""
        self.ended[effect.request_id] += 1
        if effect.run_state is RunState.NOT_RUN:
            assert not self.may_have_run[effect.request_id]

    def tick(self) -> None:
        """Run one scheduling tick of the pool."""
        self.apply_effects(run_tick(self.pool, self.now))

    def running(self) -> list[Request]:
        """Return the running requests in a deterministic order."""
        rows = self.pool.requests.values()
        return [row for row in rows if row.state is RequestState.RUNNING]

    @rule(
        workspace=strategies.sampled_from(['a', 'b', 'c']),
        idempotent=strategies.booleans(),
        is_model=strategies.booleans(),
        wait=strategies.sampled_from([None, 0.5, 5.0]),
    )
    def submit(
        self,
        workspace: str,
        idempotent: bool,
        is_model: bool,
        wait: float | None,
    ) -> None:
        """Submit a request, then run a tick."""
        self.count += 1
        req = Request(
            f'r{self.count}',
            workspace,
            kind=ServiceKind.MODEL if is_model else ServiceKind.APPLICATION,
            idempotent=idempotent or is_model,
            deadline=None if wait is None else self.now + wait,
            expires_at=self.now + 60,
            max_tokens=20 if is_model else 0,
        )
        self.admitted[req.request_id] = req
        self.apply_effects(admit(self.pool, req, self.now))
        self.tick()

    @rule(pick=choices, tokens=strategies.integers(0, 10))
    def progress(self, pick: int, tokens: int) -> None:
        """Advance a stream by some tokens."""
        rows = self.running()
        if rows:
            rows[pick % len(rows)].progress += tokens

    @rule(pick=choices)
    def end(self, pick: int) -> None:
        """Complete a run with a full response."""
        rows = self.running()
        if rows:
            req = rows[pick % len(rows)]
            self.ended[req.request_id] += 1
            complete(self.pool, req, self.now)
            self.tick()

    @rule(pick=choices, failure=strategies.sampled_from(list(Failure)))
    def fail(self, pick: int, failure: Failure) -> None:
        """Fail a run."""
        rows = self.running()
        if rows:
            req = rows[pick % len(rows)]
            if failure not in PROVEN_NOT_RUN:
                self.may_have_run[req.request_id] += 1
            self.apply_effects(run_failed(self.pool, req, failure, self.now))
            self.tick()

    @rule(number=numbers, notice=strategies.sampled_from([0.0, 1.0, 30.0]))
    def reclaim(self, number: int, notice: float) -> None:
        """Give notice that an upstream leaves, and evacuate it."""
        name = f'u{number}'
        until = self.now + notice
        incarnation = self.pool.upstreams[name].incarnation
        if mark_leaving(self.pool, name, incarnation, until):
            self.apply_effects(evacuate(self.pool, name, self.now))
        self.tick()

    @rule(number=numbers)
    def terminate(self, number: int) -> None:
        """Terminate an upstream, and fail all runs on it."""
        name = f'u{number}'
        mark_gone(self.pool, name)
        for req in self.running():
            if req.upstream_id == name:
                self.may_have_run[req.request_id] += 1
                self.apply_effects(
                    run_failed(self.pool, req, Failure.BROKEN, self.now),
                )
        self.tick()

    @rule(number=numbers)
    def replace(self, number: int) -> None:
        """Replace an upstream by a new incarnation."""
        self.incarnation += 1
        self.put(number)
        self.tick()

    @rule(seconds=strategies.sampled_from([0.1, 1.0, 10.0]))
    def wait(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.now += seconds
        self.tick()

    @invariant()
    def each_request_ends_once(self) -> None:
        """Each request is in the pool or has ended exactly once."""
        for request_id in self.admitted:
            is_gone = request_id not in self.pool.requests
            assert self.ended[request_id] == int(is_gone)

    @invariant()
    def counts_are_exact(self) -> None:
        """The in-flight and queue counts match the rows."""
        rows = self.pool.requests.values()
        queued = [row for row in rows if row.state is RequestState.QUEUED]
        assert self.pool.queued == len(queued)
        for name, row in self.pool.upstreams.items():
            here = [req for req in self.running() if req.upstream_id == name]
            assert row.in_flight == len(here), name
        for name, workspace in self.pool.workspaces.items():
            mine = [req for req in queued if req.workspace == name]
            assert workspace.queued == len(mine)

    @invariant()
    def limits_hold(self) -> None:
        """No upstream has more runs than slots."""
        for row in self.pool.upstreams.values():
            assert row.in_flight <= row.slots


TestPool = PoolMachine.TestCase
TestPool.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    derandomize=True,
    database=None,
)
