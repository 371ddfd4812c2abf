"""Decide what happens to the streams of an upstream that is leaving.

A stream can finish in place, move with its KV cache to another upstream, or
resume elsewhere from the prompt and the tokens generated so far. A stream that
can't finish in time takes the cheaper of the other two, by the weights of the
policy.
"""

from dataclasses import dataclass
from enum import StrEnum, unique

from spanfall_core.dispatch import release
from spanfall_core.effects import Effect, Move, Stop
from spanfall_core.reasons import RetryReason
from spanfall_core.recovery import requeue
from spanfall_core.routing import (
    drop_prefixes,
    free_upstreams,
    record_prefix,
    score,
    uncached_tokens,
)
from spanfall_core.tables import (
    Pool,
    Request,
    RequestState,
    ServiceKind,
    Upstream,
    UpstreamState,
)

#: Margin before the end of the notice, in seconds, so that a stream ends
#: before its host does.
SAFETY_MARGIN_SECONDS = 0.5


@unique
class EvacuationAction(StrEnum):
    """List the actions for a stream of a leaving upstream."""

    FINISH = 'finish'
    MOVE = 'move'
    RESUME = 'resume'


@dataclass(frozen=True, slots=True)
class EvacuationDecision:
    """Hold the action for one stream, and the target upstream of a move."""

    action: EvacuationAction
    target: Upstream | None = None


def mark_leaving(
    pool: Pool,
    upstream_id: str,
    incarnation: int,
    leaves_at: float,
) -> bool:
    """Mark an upstream as leaving; return whether the notice was new.

    A notice for an older incarnation is ignored. If the upstream is no longer
    active, the earlier of the two end times is kept.
    """
    row = pool.upstreams.get(upstream_id)
    if row is None or incarnation < row.incarnation:
        return False
    if row.state is not UpstreamState.ACTIVE:
        known = leaves_at if row.leaves_at is None else row.leaves_at
        row.leaves_at = min(known, leaves_at)
        return False
    row.state = UpstreamState.LEAVING
    row.leaves_at = leaves_at
    return True


def evacuate(pool: Pool, upstream_id: str, now: float) -> list[Effect]:
    """Return the effects that evacuate the streams of a leaving upstream."""
    row = pool.upstreams[upstream_id]
    runs = [
        req
        for req in pool.requests.values()
        if req.upstream_id == upstream_id and req.state is RequestState.RUNNING
    ]
    return [
        effect
        for req in runs
        for effect in apply_decision(
            pool,
            req,
            choose_action(pool, req, row, now),
            now,
        )
    ]


def remaining_seconds(req: Request, row: Upstream, now: float) -> float:
    """Estimate the seconds until the run completes on its upstream."""
    if req.kind is ServiceKind.APPLICATION:
        return max(0, row.call_seconds - (now - req.dispatched_at))
    return max(0, req.max_tokens - req.progress) * row.token_seconds


def choose_action(
    pool: Pool,
    req: Request,
    row: Upstream,
    now: float,
) -> EvacuationDecision:
    """Choose the cheapest action that loses no part of the response.

    Applications have no state to move: their calls finish in place, and the
    recovery module handles those that the end of the host interrupts.
    """
    until = float('inf') if row.leaves_at is None else row.leaves_at
    seconds_left = until - now - SAFETY_MARGIN_SECONDS
    seconds_needed = remaining_seconds(req, row, now)
    if req.kind is ServiceKind.APPLICATION or seconds_needed <= seconds_left:
        return EvacuationDecision(EvacuationAction.FINISH)
    rows = free_upstreams(pool, req, now)
    if not rows or seconds_left < pool.policy.export_seconds:
        return EvacuationDecision(EvacuationAction.RESUME)
    if 'kv-move' in pool.policy.disabled:
        return EvacuationDecision(EvacuationAction.RESUME)
    target = min(
        rows,
        key=lambda other: (score(pool, req, other), other.upstream_id),
    )
    uncached = uncached_tokens(pool, req, target)
    recompute_seconds = uncached * pool.policy.prefill_token_seconds
    move_is_cheaper = pool.policy.export_seconds < recompute_seconds * (
        1 + pool.policy.recompute_weight
    )
    return (
        EvacuationDecision(EvacuationAction.MOVE, target)
        if move_is_cheaper
        else EvacuationDecision(EvacuationAction.RESUME)
    )


def apply_decision(
    pool: Pool,
    req: Request,
    decision: EvacuationDecision,
    now: float,
) -> list[Effect]:
    """Update the pool for the decision and return the effects."""
    if decision.action is EvacuationAction.FINISH:
        return []
    if decision.action is EvacuationAction.RESUME or decision.target is None:
        return resume_elsewhere(pool, req)
    return [move_run(pool, req, decision.target, now)]


def resume_elsewhere(pool: Pool, req: Request) -> list[Effect]:
    """Stop the run and requeue the request to resume from its progress."""
    stop = Stop(req.request_id, req.upstream_id, req.run)
    req.may_have_run = True
    return [stop, requeue(pool, req, RetryReason.UPSTREAM_LEAVING)]


def move_run(
    pool: Pool,
    req: Request,
    target: Upstream,
    now: float,
) -> Move:
    """Move a run to the target: occupy a slot there, free the source slot."""
    source_id = req.upstream_id
    req.may_have_run = True
    release(pool, req)
    pool.workspaces[req.workspace].running += 1
    target.in_flight += 1
    req.upstream_id = target.upstream_id
    req.run += 1
    req.dispatched_at = now
    req.avoid.add(source_id)
    record_prefix(pool, req, target.upstream_id, now)
    return Move(req.request_id, source_id, target.upstream_id, req.run)


def mark_gone(pool: Pool, upstream_id: str) -> None:
    """Record that an upstream and its prefix cache are gone."""
    row = pool.upstreams.get(upstream_id)
    if row is not None:
        row.state = UpstreamState.GONE
        drop_prefixes(pool, upstream_id)
