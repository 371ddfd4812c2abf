"""A gateway that stops drops the requests that wait for their turn.

Two gateways, two model workers with two slots each. Four streams of ten seconds
fill the slots; three more requests come over kept channels and wait, as there
is no room. Half a second later the gateway that read them gets SIGTERM, as on a
planned restart, and SIGKILL after `grace_s` if it still runs. Each request must
get a whole answer, be it a refusal.

With TROUBLE=0 no signal is sent; the requests are served when slots are free.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins'))

from world import Channel, run_case, stream  # noqa: E402

CHAT_HOST = 'desk.example'
KEY = 'i9n73hh2b9wu3fexd9dn'
#: As on the sheet of the site: two kinds of request of one service.
REVIEW = {'aim_ms': 800, 'budget_ms': 6000}
CHAT = {'aim_ms': 1500, 'budget_ms': 15000}
GRACE_SECONDS = 8.0
LOSS_SLACK_SECONDS = 0.2
#: Seconds after SIGTERM for which lost requests count.
COUNTED_SECONDS = GRACE_SECONDS + 1
WORKERS = 2
SLOTS = 2
WAITING = 3


def _route(name, kind, priority):
    return {
        'name': name,
        'hostname': CHAT_HOST,
        'path_prefix': f'/{name}/',
        'route_kind': 'streaming',
        'timeout_ms': kind['budget_ms'],
        'latency_slo_ms': kind['aim_ms'],
        'max_attempts': 2,
        'priority': priority,
        'service': 'assist-llm',
        'gap_target_ms': 400,
    }


CONFIG = {
    'version': 1,
    'routes': [_route('review', REVIEW, 0), _route('chat', CHAT, 2)],
    'services': [
        {
            'name': 'assist-llm',
            'max_conns': 680,
            'engine': {'slots': SLOTS, 'kv_capacity': 341779},
        }
    ],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 4194304,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
    'tenants': [
        {
            'name': 'hule930',
            'api_keys': [KEY],
            'unit': 'tokens',
            'uncached_tokens': 200,
            'rate_per_s': 29000,
            'burst': 29000,
        }
    ],
}


async def _work(worker, request, sealed, writer):
    if request.header('x-attempt-id').startswith('long'):
        return await stream(worker, request, sealed, writer, 41, 0.25)
    return await stream(worker, request, sealed, writer, 4, 0.02)


async def _send(channel, attempt):
    await channel.send(
        'POST',
        '/chat/1',
        {
            'Host': CHAT_HOST,
            'X-Attempt-Id': attempt,
            'X-Deadline-Ms': str(CHAT['budget_ms']),
            'Authorization': f'Token {KEY}',
            'X-Model': 'm',
            'X-Token-Usage': '540,40',
            'X-Prefix-Hash': f'5c1e07a2:170,{attempt.encode().hex()}:370',
        },
        attempt.encode(),
    )


async def case(world, trouble):
    await world.start(CONFIG)
    for _ in range(WORKERS):
        await world.add_worker('assist-llm', SLOTS, _work)
    for zone in ('zone-a', 'zone-b'):
        world.add_gateway(zone)
    await world.wait_ready()
    await asyncio.sleep(1)
    home = world.gateway(world.store.home)
    entry = next(one for one in world.gateways if one is not home)
    kept = []
    for number in range(WAITING):
        channel = await Channel.open(entry.callers)
        await _send(channel, f'first{number}')
        world.record(f'first{number}: {await channel.read(15)}')
        kept.append(channel)
    streams = []
    for number in range(WORKERS * SLOTS):
        channel = await Channel.open(home.callers)
        await _send(channel, f'long{number}')
        streams.append(asyncio.ensure_future(channel.read(15)))
    await asyncio.sleep(2)
    waiting = []
    for number, channel in enumerate(kept):
        await _send(channel, f'wait{number}')
        world.record(f'wait{number} is sent to {entry.name}')
        waiting.append(asyncio.ensure_future(channel.read(15)))
    await asyncio.sleep(0.5)
    stopped_at = time.monotonic()
    if trouble:
        entry.send('SIGTERM')
        killer = asyncio.ensure_future(_kill(entry))
    lost = []
    for number, task in enumerate(waiting):
        answer = await task
        world.record(f'wait{number}: {answer}')
        reached = sum(
            f'wait{number}' in worker.began for worker in world.workers
        )
        is_counted = time.monotonic() - stopped_at < COUNTED_SECONDS
        # The requester still waits, and no worker has the request.
        if (
            not answer.complete
            and 'stopped waiting' not in answer.end
            and answer.seconds > LOSS_SLACK_SECONDS
            and not reached
            and (is_counted or not trouble)
        ):
            lost.append(f'wait{number}, {answer}')
    for number, task in enumerate(streams):
        world.record(f'long{number}: {await task}')
    if trouble:
        await killer
    if not lost:
        return []
    return [
        f'{len(lost)} requests were read and their channels ended without an '
        f'answer: {"; ".join(lost)}'
    ]


async def _kill(gateway):
    """Kill a stopping process after `grace_s`."""
    until = time.monotonic() + GRACE_SECONDS
    while time.monotonic() < until:
        if gateway.process.poll() is not None:
            gateway.world.record(f'{gateway.name} ended by itself')
            return
        await asyncio.sleep(0.02)
    gateway.send('SIGKILL')


run_case(case, Path(__file__).parent)
