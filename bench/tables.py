"""Measure the tables and decisions of the core and the node, without I/O."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from itertools import count
from typing import Any

from spanfall_api.changes import dump_change, load_change
from spanfall_api.frames import Heartbeat, decode_batch, encode_batch
from spanfall_core.admission import admit
from spanfall_core.configuration import Change, ConfigState, Edit, apply_change
from spanfall_core.dispatch import complete, run_tick
from spanfall_core.effects import Dispatch
from spanfall_core.membership import (
    Member,
    MemberTable,
    make_record,
    merge_record,
    record_heartbeat,
)
from spanfall_core.tables import Pool, Request, Upstream
from spanfall_core.upstreams import put_upstream
from spanfall_node.catalog import Catalog

Points = list[tuple[float, float]]

MEMBER_SIZES = (100, 200, 400, 800)
OBJECT_SIZES = (1000, 2000, 4000, 8000)
QUEUE_SIZES = (100, 400, 1600, 6400)
POOL_SIZES = (5, 20, 80, 320)
REPEATS = 200
HEARTBEAT_SIZES = (1000, 2000, 4000, 8000)
CHANGE_SIZES = (500, 1000, 2000, 4000)
KNOWN = 'brisbane-depot-1'


def grown_bytes(build: Callable[[], Any]) -> int:
    """Return how much memory the result of ``build`` occupies."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    grown, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return grown


def build_members(size: int) -> MemberTable:
    """Return a member list of a size."""
    table = MemberTable()
    members = [
        Member(
            f'brisbane-depot-{number}',
            1_796_222_359_000 + number,
            'brisbane-depot',
            f'10.0.{number // 250}.{number % 250}:21300',
        )
        for number in range(size)
    ]
    merge_record(table, 'brisbane-depot', make_record(1, 'x', members))
    return table


def build_config(size: int) -> tuple[ConfigState, Catalog]:
    """Return a configuration of as many upstreams, with its catalog."""
    state = ConfigState()
    catalog = Catalog()
    for number in range(size):
        document = {
            'name': f'frostmind-{number}',
            'address': f'http://10.0.{number // 250}.{number % 250}:8000',
            'data_centre': 'brisbane-depot',
            'host_class': 'reclaimable',
            'price': 1.0,
            'slots': 8,
            'reclaimable': True,
            'incarnation': 1,
            'labels': {'service': f'frostmind-{number // 6}'},
        }
        edit = Edit('upstreams', f'frostmind-{number}', document)
        change = Change(number + 1, f'op-{number}', 'bench', (edit,))
        apply_change(state, change)
        catalog.update(state, [('upstreams', edit.name)])
    return state, catalog


def build_pool(workers: int, slots: int = 8) -> Pool:
    """Return a pool of as many upstreams."""
    pool = Pool('frostmind')
    pool.policy.max_queued = 1_000_000
    for number in range(workers):
        put_upstream(
            pool,
            Upstream(f'frostmind-{number}', 'http://x', 'dc', slots=slots),
            0,
        )
    return pool


def new_request(number: int) -> Request:
    """Return a request with a prompt of 40 blocks."""
    return Request(
        f'frostmind.node.c{number:032x}',
        f'workspace-{number % 5}',
        prompt_tokens=2560,
        max_tokens=330,
        prefix=tuple(range(number * 40, number * 40 + 40)),
    )


def fill_queue(pool: Pool, size: int) -> None:
    """Admit as many requests; those without a slot stay queued."""
    for number in range(size):
        admit(pool, new_request(number), 0)


def member_memory() -> Points:
    """Return bytes of the member list against its members."""
    return [
        (size, grown_bytes(lambda wanted=size: build_members(wanted)))
        for size in MEMBER_SIZES
    ]


def object_memory() -> Points:
    """Return bytes of configuration and catalog against their objects."""
    return [
        (size, grown_bytes(lambda wanted=size: build_config(wanted)))
        for size in OBJECT_SIZES
    ]


def upstream_memory() -> Points:
    """Return bytes of a pool against its upstreams."""
    return [
        (size, grown_bytes(lambda wanted=size: build_pool(wanted)))
        for size in POOL_SIZES
    ]


def queue_memory() -> Points:
    """Return bytes of a pool against its queued requests."""
    return [
        (size, grown_bytes(lambda wanted=size: queued_pool(wanted)))
        for size in QUEUE_SIZES
    ]


def queued_pool(size: int) -> Pool:
    """Return a pool with a queue."""
    pool = build_pool(5)
    fill_queue(pool, size)
    return pool


def decision_by_queue() -> Points:
    """Return microseconds of a decision against the queue's length."""
    return [(size, time_decision(5, size)) for size in QUEUE_SIZES]


def decision_by_pool() -> Points:
    """Return microseconds of a decision against the pool's upstreams."""
    return [(size, time_decision(size, 200)) for size in POOL_SIZES]


def time_decision(workers: int, queued: int) -> float:
    """Return the microseconds of one admit, dispatch and completion.

    All slots but one are taken, so that each step has one slot to fill.
    """
    pool = build_pool(workers)
    fill_queue(pool, workers * 8 + queued)
    running = [
        effect.request_id
        for effect in run_tick(pool, 0)
        if isinstance(effect, Dispatch)
    ]
    numbers = count(1_000_000)
    started = time.perf_counter()
    for _ in range(REPEATS):
        complete(pool, pool.requests[running.pop()], 1)
        admit(pool, new_request(next(numbers)), 1)
        running.extend(effect.request_id for effect in run_tick(pool, 1))
    return (time.perf_counter() - started) / REPEATS * 1_000_000


def sample_heartbeat(data_centres: int) -> Heartbeat:
    """Return a heartbeat that names as many data centres."""
    return Heartbeat(
        node_id='brisbane-depot-1',
        incarnation=1_796_222_359_000,
        data_centre='brisbane-depot',
        address='10.0.0.1:21300',
        revision=1_000_000,
        members=tuple(
            (f'data-centre-{number}', 10**6) for number in range(data_centres)
        ),
    )


def heartbeat_cpu() -> Points:
    """Return processor seconds against heartbeats decoded and heard."""
    message = encode_batch([sample_heartbeat(11)])
    table = build_members(52)
    points: Points = []
    for size in HEARTBEAT_SIZES:
        started = time.process_time()
        for _ in range(size):
            decode_batch(message)
            record_heartbeat(
                table, table.records['brisbane-depot'].members[KNOWN], 1
            )
        points.append((size, time.process_time() - started))
    return points


def change_cpu() -> Points:
    """Return processor seconds against changes decoded and applied."""
    state, catalog = build_config(1000)
    points: Points = []
    for size in CHANGE_SIZES:
        started = time.process_time()
        for number in range(size):
            name = f'frostmind-{number % 1000}'
            stored = state.objects['upstreams', name]
            edit = Edit('upstreams', name, stored.document)
            revision = state.revision + 1
            change = Change(revision, f'c-{revision}', 'bench', (edit,))
            apply_change(state, load_change(dump_change(change)))
            catalog.update(state, [('upstreams', name)])
        points.append((size, time.process_time() - started))
    return points


Measured = tuple[tuple[str, str], Callable[[], Points]]

SLOPES: dict[str, Measured] = {
    'member-memory': (('members', 'bytes'), member_memory),
    'object-memory': (('objects', 'bytes'), object_memory),
    'upstream-memory': (('upstreams', 'bytes'), upstream_memory),
    'queue-memory': (('queued requests', 'bytes'), queue_memory),
    'decision-by-queue': (('queued requests', 'us'), decision_by_queue),
    'heartbeat-cpu': (('heartbeats', 's'), heartbeat_cpu),
    'change-cpu': (('changes', 's'), change_cpu),
    'decision-by-pool': (('upstreams', 'us'), decision_by_pool),
}
