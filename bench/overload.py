"""Drive a pool at 1.5 times its saturation, on virtual time.

Interactive requests must begin within their deadline. Compared are the
queues of the core and a FIFO queue: one workspace, no priority, no deadline
that the queue knows of.

Usage: python bench/overload.py [SEED ...]
"""

import heapq
import json
import random
import sys
from dataclasses import dataclass, field
from itertools import count

from spanfall_core.admission import admit
from spanfall_core.dispatch import complete, run_tick
from spanfall_core.effects import Dispatch
from spanfall_core.tables import Pool, Request, Upstream
from spanfall_core.upstreams import put_upstream

WORKERS = 5
SLOTS = 8
TOKEN_SECONDS = 0.05
LONG_TOKENS = 120
SHORT_TOKENS = 15
#: Share of requests that are interactive.
SHORT_SHARE = 0.75
DEADLINE = 4.0
SECONDS = 300.0
LOAD = 1.5
TICK = 0.05


@dataclass(slots=True)
class Run:
    """Hold what became of the interactive requests of one run."""

    begun: dict[str, float] = field(default_factory=dict)
    arrived: dict[str, float] = field(default_factory=dict)
    whole_long: int = 0

    def share_met(self) -> float:
        """Return the share of interactive requests begun in time."""
        met = sum(
            self.begun.get(name, float('inf')) - at <= DEADLINE
            for name, at in self.arrived.items()
        )
        return met / len(self.arrived)


def arrivals(seed: int) -> list[tuple[float, bool]]:
    """Return times of arrival, and whether each is interactive."""
    mean = SHORT_SHARE * SHORT_TOKENS + (1 - SHORT_SHARE) * LONG_TOKENS
    rate = LOAD * WORKERS * SLOTS / (mean * TOKEN_SECONDS)
    rng = random.Random(seed)
    rows = []
    at = 0.0
    while at < SECONDS:
        at += rng.expovariate(rate)
        rows.append((at, rng.random() < SHORT_SHARE))
    return rows


def build_pool() -> Pool:
    """Return the pool under load."""
    pool = Pool('writer')
    pool.policy.max_queued = 100_000
    for number in range(WORKERS):
        row = Upstream(f'writer-{number}', 'http://x', 'dc', slots=SLOTS)
        row.token_seconds = TOKEN_SECONDS
        put_upstream(pool, row, 0)
    return pool


def drive(rows: list[tuple[float, bool]], *, is_fifo: bool) -> Run:
    """Run all arrivals against a pool."""
    pool = build_pool()
    run = Run()
    ends: list[tuple[float, int, str]] = []
    order = count()
    now = 0.0
    waiting = list(reversed(rows))
    while waiting or ends:
        now += TICK
        while ends and ends[0][0] <= now:
            at, _, name = heapq.heappop(ends)
            req = pool.requests[name]
            req.progress = req.max_tokens
            run.whole_long += name not in run.arrived
            complete(pool, req, at)
        while waiting and waiting[-1][0] <= now:
            at, is_short = waiting.pop()
            name = f'r{next(order)}'
            if is_short:
                run.arrived[name] = at
            req = make_request(name, at, is_short=is_short, is_fifo=is_fifo)
            admit(pool, req, now)
        for effect in run_tick(pool, now):
            if isinstance(effect, Dispatch):
                name = effect.request_id
                run.begun[name] = now
                seconds = pool.requests[name].max_tokens * TOKEN_SECONDS
                entry = (now + seconds, next(order), name)
                heapq.heappush(ends, entry)
        if now > SECONDS + DEADLINE:
            break
    return run


def make_request(
    name: str,
    at: float,
    *,
    is_short: bool,
    is_fifo: bool,
) -> Request:
    """Return a request as it arrives at a time."""
    tokens = SHORT_TOKENS if is_short else LONG_TOKENS
    if is_fifo:
        return Request(name, 'all', max_tokens=tokens)
    if is_short:
        return Request(
            name,
            'drivers',
            priority=5,
            deadline=at + DEADLINE,
            max_tokens=tokens,
        )
    return Request(name, 'managers', max_tokens=tokens)


def main() -> None:
    """Print the share of deadlines met, by queue and seed."""
    seeds = [int(text) for text in sys.argv[1:]] or [1, 2, 3]
    result = {}
    for seed in seeds:
        rows = arrivals(seed)
        core = drive(rows, is_fifo=False)
        fifo = drive(rows, is_fifo=True)
        result[seed] = {
            'core': round(core.share_met(), 3),
            'fifo': round(fifo.share_met(), 3),
            'long_whole_core': core.whole_long,
            'long_whole_fifo': fifo.whole_long,
        }
    print(json.dumps(result, indent=2))


if __name__ == '__main__':
    main()
