"""Choose the upstream of a request by cost, latency and recomputed tokens.

A routing policy is a function that takes a pool, a request and the candidate
upstreams and returns one of them. The baselines of the benchmark are such
functions, too.
"""

from collections.abc import Callable, Sequence

from spanfall_core.tables import Pool, Request, ServiceKind, Upstream
from spanfall_core.upstreams import open_slots

#: Prompt tokens per block of the prefix cache index.
BLOCK_TOKENS = 64
#: Maximum number of (block, upstream) entries in the index of one service.
MAX_PREFIX_ENTRIES = 50_000
#: Assumed probability per second that a reclaimable host is reclaimed, used
#: for scoring: once in two hours.
RECLAIM_RATE = 1 / 7200

#: Assumed fraction by which a full batch slows down each of its streams, for
#: engines with continuous batching (docs/PERFORMANCE.md).
BATCH_SLOWDOWN = 0.1

Chooser = Callable[[Pool, Request, Sequence[Upstream]], Upstream]


def cached_tokens(pool: Pool, req: Request, upstream_id: str) -> int:
    """Return how many prompt tokens the upstream has cached.

    The count comes from the prefix index of this home.
    """
    if 'prefix' in pool.policy.disabled:
        return 0
    count = 0
    for block in req.prefix:
        if (block, upstream_id) not in pool.prefixes:
            break
        count += 1
    return count * BLOCK_TOKENS


def record_prefix(
    pool: Pool,
    req: Request,
    upstream_id: str,
    now: float,
) -> None:
    """Record that an upstream now caches the prompt of a request.

    The least recently used entries are evicted beyond MAX_PREFIX_ENTRIES.
    """
    for block in req.prefix:
        entry = (block, upstream_id)
        pool.prefixes[entry] = now
        pool.prefixes.move_to_end(entry)
    while len(pool.prefixes) > MAX_PREFIX_ENTRIES:
        pool.prefixes.popitem(last=False)


def drop_prefixes(pool: Pool, upstream_id: str) -> None:
    """Drop all prefixes of an upstream that is gone or has lost its cache."""
    stale = [entry for entry in pool.prefixes if entry[1] == upstream_id]
    for entry in stale:
        pool.prefixes.pop(entry)


def uncached_tokens(pool: Pool, req: Request, row: Upstream) -> int:
    """Return the number of tokens to prefill on the upstream before decode."""
    if req.kind is ServiceKind.APPLICATION:
        return 0
    cached = cached_tokens(pool, req, row.upstream_id)
    return max(0, req.prompt_tokens + req.progress - cached)


def score(pool: Pool, req: Request, row: Upstream) -> float:
    """Return the expected cost of running the request there; lower is better.

    The three terms, each multiplied by its weight in the policy, are the
    price of the occupied slot, latency (prefill time beyond the first-token
    target plus the slowdown by the batch), and the tokens to be computed,
    now or again after a reclaim.
    """
    policy = pool.policy
    prefill = uncached_tokens(pool, req, row)
    prefill_seconds = prefill * policy.prefill_token_seconds
    load = (row.in_flight + 1) / max(1, row.slots)
    prefill_seconds *= 1 + load
    if req.kind is ServiceKind.MODEL:
        remaining_tokens = max(0, req.max_tokens - req.progress)
        run_seconds = remaining_tokens * row.token_seconds
    else:
        remaining_tokens = 0
        run_seconds = row.call_seconds
    cost = row.price * (prefill_seconds + run_seconds) / max(1, row.slots)
    target_excess = max(0, prefill_seconds - policy.first_token_target)
    reclaim_probability = RECLAIM_RATE * run_seconds if row.reclaimable else 0.0
    recomputed = prefill + reclaim_probability * (
        req.prompt_tokens + req.progress + remaining_tokens / 2
    )
    return (
        policy.cost_weight * cost
        + policy.latency_weight
        * (target_excess + BATCH_SLOWDOWN * load * run_seconds)
        + policy.recompute_weight * recomputed * policy.prefill_token_seconds
    )


def choose_by_score(
    pool: Pool,
    req: Request,
    rows: Sequence[Upstream],
) -> Upstream:
    """Return the upstream with the lowest score."""
    return min(rows, key=lambda row: (score(pool, req, row), row.upstream_id))


def choose_least_reported(
    pool: Pool,
    req: Request,
    rows: Sequence[Upstream],
) -> Upstream:
    """Return the upstream with the least reported load (baseline)."""
    return min(rows, key=lambda row: (row.reported_load, row.upstream_id))


def choose_round_robin(
    pool: Pool,
    req: Request,
    rows: Sequence[Upstream],
) -> Upstream:
    """Return each upstream in turn (baseline)."""
    return rows[pool.sequence % len(rows)]


#: Routing policies by their name in the settings.
CHOOSERS: dict[str, Chooser] = {
    'score': choose_by_score,
    'least-reported': choose_least_reported,
    'round-robin': choose_round_robin,
}


def free_upstreams(pool: Pool, req: Request, now: float) -> list[Upstream]:
    """Return the upstreams with a free slot, without those to avoid.

    If all of them are to be avoided, return them all: another attempt there
    is better than none.
    """
    free = [
        row
        for row in pool.upstreams.values()
        if row.in_flight < open_slots(pool, row, now)
    ]
    return [row for row in free if row.upstream_id not in req.avoid] or free
