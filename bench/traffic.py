"""Measure what requests, tokens and open streams cost entry and home."""

import time
from collections.abc import Iterable
from itertools import pairwise

import anyio
import httpx
from processes import Processes, run_processes
from spanfall_core.tables import ServiceKind
from spanfall_standins.deployments import Deployment, PoolPlan, token_of

Points = list[tuple[float, float]]

PLAN = Deployment(
    'bench',
    ('north', 'south'),
    2,
    (
        PoolPlan('writer', ServiceKind.MODEL, 3),
        PoolPlan('desk', ServiceKind.APPLICATION, 2),
    ),
    ('bench',),
    cost_weight=1,
    recompute_weight=1,
)
SPEED = {
    'slots': 400,
    'prefill_token_seconds': 0.0,
    'step_seconds': 0.02,
    'step_per_stream': 0.0,
}
TOKEN_SIZES = (50, 100, 200, 400)
REQUEST_SIZES = (100, 200, 400, 800)
STREAM_SIZES = (50, 100, 200, 400)
STREAMS = 40
WORKERS = 20
PAIRS = 8
HOLD_SECONDS = 2.0
HEADERS = {'Authorization': f'Bearer {token_of("bench")}'}


def chat(tokens: int) -> dict[str, object]:
    """Return a chat request with as many tokens in the answer."""
    return {
        'model': 'writer',
        'stream': True,
        'max_tokens': tokens,
        'messages': [{'role': 'user', 'content': 'bench ' * 20}],
    }


async def read_all(client: httpx.AsyncClient, url: str, tokens: int) -> float:
    """Read one stream; return the seconds to its first part."""
    started = time.perf_counter()
    first = 0.0
    seen = b''
    async with client.stream(
        'POST',
        f'{url}/v1/chat/completions',
        json=chat(tokens),
    ) as reply:
        reply.raise_for_status()
        async for chunk in reply.aiter_raw():
            first = first or time.perf_counter() - started
            seen = chunk
    if not seen.endswith(b'data: [DONE]\n\n'):
        raise RuntimeError('a stream was cut short')
    return first


async def run_streams(url: str, streams: int, tokens: int) -> None:
    """Read as many streams at once."""
    async with anyio.create_task_group() as tasks:
        for _ in range(streams):
            client = httpx.AsyncClient(headers=HEADERS, timeout=None)
            tasks.start_soon(read_all, client, url, tokens)


async def run_calls(url: str, calls: int) -> None:
    """Make as many calls, some at a time."""
    limit = anyio.Semaphore(WORKERS)

    async def call(client: httpx.AsyncClient) -> None:
        async with limit:
            reply = await client.get(f'{url}/services/desk/jobs')
            reply.raise_for_status()

    async with (
        httpx.AsyncClient(headers=HEADERS, timeout=None) as client,
        anyio.create_task_group() as tasks,
    ):
        for _ in range(calls):
            tasks.start_soon(call, client)


def spent(fleet: Processes, nodes: Iterable[int]) -> list[float]:
    """Return the processor seconds of nodes so far."""
    return [fleet.cpu(number) for number in nodes]


def measure_tokens(fleet: Processes, nodes: list[int]) -> list[Points]:
    """Return processor seconds of each node against relayed tokens."""
    url = fleet.caller(nodes[0])
    rows: list[Points] = [[] for _ in nodes]
    for tokens in TOKEN_SIZES:
        before = spent(fleet, nodes)
        anyio.run(run_streams, url, STREAMS, tokens)
        after = spent(fleet, nodes)
        for points, start, end in zip(rows, before, after, strict=True):
            points.append((tokens * STREAMS, end - start))
    return rows


def measure_calls(fleet: Processes, nodes: list[int]) -> list[Points]:
    """Return processor seconds of each node against application calls."""
    url = fleet.caller(nodes[0])
    rows: list[Points] = [[] for _ in nodes]
    for calls in REQUEST_SIZES:
        before = spent(fleet, nodes)
        anyio.run(run_calls, url, calls)
        after = spent(fleet, nodes)
        for points, start, end in zip(rows, before, after, strict=True):
            points.append((calls, end - start))
    return rows


def measure_streams(fleet: Processes, nodes: list[int]) -> list[Points]:
    """Return resident bytes of each node against open streams."""
    url = fleet.caller(nodes[0])
    rows: list[Points] = [[] for _ in nodes]

    async def hold(streams: int) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_streams, url, streams, 10_000)
            await anyio.sleep(HOLD_SECONDS + streams / 100)
            sizes = [
                await anyio.to_thread.run_sync(fleet.memory, number)
                for number in nodes
            ]
            for points, size in zip(rows, sizes, strict=True):
                points.append((streams, size))
            tasks.cancel_scope.cancel()

    for streams in STREAM_SIZES:
        anyio.run(hold, streams)
        time.sleep(HOLD_SECONDS)
    return rows


def measure_overhead(fleet: Processes, nodes: list[int]) -> dict[str, float]:
    """Compare the path through entry and home with a direct call."""
    direct = 'http://127.0.0.1:23400'
    through = fleet.caller(nodes[0])
    figures: dict[str, list[float]] = {direct: [], through: []}

    async def ask(url: str) -> None:
        async with httpx.AsyncClient(headers=HEADERS, timeout=None) as client:
            await read_all(client, url, 1)
            started = time.perf_counter()
            first = await read_all(client, url, 51)
            whole = time.perf_counter() - started
            figures[url].extend((first, (whole - first) / 50))

    for pair in range(PAIRS):
        for url in (direct, through) if pair % 2 else (through, direct):
            anyio.run(ask, url)
    firsts = [median(figures[url][::2]) for url in (direct, through)]
    gaps = [median(figures[url][1::2]) for url in (direct, through)]
    return {
        'first_direct_seconds': firsts[0],
        'first_ratio': firsts[1] / firsts[0],
        'token_direct_seconds': gaps[0],
        'token_ratio': gaps[1] / gaps[0],
    }


def median(figures: list[float]) -> float:
    """Return the middle figure."""
    return sorted(figures)[len(figures) // 2]


def growth(points: Points) -> list[float]:
    """Return the growth between neighbours, to see a bend."""
    return [
        (right[1] - left[1]) / (right[0] - left[0])
        for left, right in pairwise(points)
    ]


def measure_all() -> tuple[dict[str, Points], dict[str, float]]:
    """Return all slopes of traffic by name, and the overhead."""
    with run_processes(PLAN, SPEED) as fleet:
        homes = fleet.homes('writer')
        nodes = [homes[1], homes[0]]
        anyio.run(run_streams, fleet.caller(nodes[0]), STREAMS, 20)
        overhead = measure_overhead(fleet, nodes)
        tokens = measure_tokens(fleet, nodes)
        desk = fleet.homes('desk')
        calls = measure_calls(fleet, [desk[1], desk[0]])
        streams = measure_streams(fleet, nodes)
    rows = {
        'token-cpu-entry': tokens[0],
        'token-cpu-home': tokens[1],
        'call-cpu-entry': calls[0],
        'call-cpu-home': calls[1],
        'stream-memory-entry': streams[0],
        'stream-memory-home': streams[1],
    }
    return rows, overhead
