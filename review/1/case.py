"""A gateway that lost the store once goes on using a worker that has left.

Three gateways, six workers. The gateway that holds the home record is cut from
the store for four seconds, as a partition does, and another one takes over.
Six seconds after the cut has healed, the process of the new home is killed, and
at once one worker leaves: its entry is removed, it goes on serving for
`drain_ms` and 0.6 s more, and exits. No request may reach it later than
`drain_ms` after its entry was removed, from a gateway in touch.

With TROUBLE=0 nothing is cut and no machine is lost; the worker leaves all the
same. TROUBLE=cut and TROUBLE=kill play one of the two alone.
"""

import asyncio
import os
import sys
import time
from functools import partial
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins'))

from world import Channel, CannotRunError, Link, respond, run_case  # noqa: E402

SHEET_HOST = 'depot.example'
KEY = 'i9n73hh2b9wu3fexd9dn'
BUDGET_MS = 1500
WORK_SECONDS = 0.09
#: Bounds of the sheet.
DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
#: Dose of the site's troubles: a cut of 5.5 s at most, a process down for 3.5 s.
CUT_SECONDS = 4.0
DOWN_SECONDS = 3.5
CALM_SECONDS = 6.0
AFTER_SECONDS = 8.0
#: How much longer than `drain_ms` the worker goes on serving.
LONGER_SECONDS = 0.6
REQUESTERS = 12
PERIOD_SECONDS = 0.1

CONFIG = {
    'version': 1,
    'routes': [
        {
            'name': 'job-sheet',
            'hostname': SHEET_HOST,
            'path_prefix': '/sheet/',
            'route_kind': 'non_idempotent',
            'timeout_ms': BUDGET_MS,
            'latency_slo_ms': 400,
            'max_attempts': 1,
            'priority': 0,
            'service': 'desk',
        }
    ],
    'services': [{'name': 'desk', 'max_conns': 110}],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 4194304,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
    'tenants': [{'name': 'hule930', 'api_keys': [KEY]}],
}


async def case(world, trouble):
    mode = os.environ.get('TROUBLE', '1')
    cuts, kills = trouble and mode != 'kill', trouble and mode != 'cut'
    await world.start(CONFIG)
    for _ in range(6):
        await world.add_worker(
            'desk', 6, partial(respond, seconds=WORK_SECONDS)
        )
    links = {}
    for zone in ('zone-a', 'zone-b', 'zone-c'):
        link = await Link(world.store.address).start()
        gateway = world.add_gateway(zone, store=link.address)
        links[gateway.name] = link
    await world.wait_ready()
    await asyncio.sleep(2)
    first = world.gateway(world.store.home)
    world.record(f'the home is {first.name}')
    senders = {}
    #: Status that each request got.
    statuses = {}
    tasks = [
        asyncio.ensure_future(_requester(world, gateway, number, senders, statuses))
        for gateway in world.gateways
        for number in range(REQUESTERS)
    ]
    if cuts:
        world.record(f'{first.name} is cut from the store')
        links[first.name].cut()
    await asyncio.sleep(CUT_SECONDS)
    if cuts:
        links[first.name].heal()
        world.record(f'{first.name} reaches the store again')
    await asyncio.sleep(CALM_SECONDS)
    home = world.gateway(world.store.home)
    world.record(f'the home is {home.name}')
    if cuts and home is first:
        raise CannotRunError('no other gateway took over')
    # As the pages' `renewed`: it seems to lead, and has just sent.
    await world.store.renewed.wait()
    if kills:
        home.send('SIGKILL')
        home.process.wait()
    leaver = world.workers[0]
    left_at = time.monotonic()
    world.unlist_worker(leaver)
    await asyncio.sleep(DRAIN_SECONDS + LONGER_SECONDS)
    leaver.exit()
    world.record(f'worker {leaver.id} exits')
    await asyncio.sleep(max(0, left_at + DOWN_SECONDS - time.monotonic()))
    if kills:
        home.start()
    await asyncio.sleep(max(0, left_at + AFTER_SECONDS - time.monotonic()))
    for task in tasks:
        task.cancel()
    late = []
    last = {}
    for at, attempt, _ in leaver.arrived:
        seconds = at - left_at
        sender = senders[attempt]
        last[sender] = max(seconds, last.get(sender, -99))
        # The killed machine was not in touch; the others were all the while.
        if seconds > DRAIN_SECONDS and not (kills and sender == home.name):
            late.append(
                f'{attempt} from {sender} after {seconds:.3f} s, answered '
                f'{statuses.get(attempt, "nothing")}'
            )
    for sender, seconds in sorted(last.items()):
        world.record(
            f'last request to {leaver.id} from {sender}: {seconds:.3f} s '
            'after its entry was removed'
        )
    if not late:
        return []
    return [
        f'{len(late)} requests reached a worker later than '
        f'{DRAIN_SECONDS} s after its entry was removed: {"; ".join(late)}'
    ]


async def _requester(world, gateway, number, senders, statuses):
    """Ask over one channel while it lasts, then over another one."""
    count = 0
    channel = None
    while True:
        count += 1
        attempt = f'{gateway.name}-{number}-{count}'
        senders[attempt] = gateway.name
        try:
            if channel is None:
                channel = await Channel.open(gateway.callers)
            await channel.send(
                'POST',
                f'/sheet/{number}-{count}',
                {
                    'Host': SHEET_HOST,
                    'X-Attempt-Id': attempt,
                    'X-Deadline-Ms': str(BUDGET_MS),
                    'Authorization': f'Token {KEY}',
                },
                b'sheet',
            )
            answer = await channel.read(BUDGET_MS / 1000)
            statuses[attempt] = answer.status
            if answer.status != 200:
                world.record(f'requester {attempt}: {answer}')
            if not answer.complete or answer.header_close:
                channel.close()
                channel = None
        except OSError:
            channel = None
        await asyncio.sleep(PERIOD_SECONDS)


run_case(case, Path(__file__).parent)
