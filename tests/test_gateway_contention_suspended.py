"""A process that is suspended while requests are held harms none of them."""

import math
import signal
import subprocess
import sys
from contextlib import asynccontextmanager, contextmanager
from itertools import count
from types import SimpleNamespace

import anyio
import msgspec
import pytest
from contention_world import (
    SLOTS,
    Callers,
    Gate,
    held_at,
    is_linked,
    running_by,
    runs_of,
    turn_on,
)
from gateway_world import SERVICE, dial, in_world, read_answer, request_bytes
from spanfall_api.gateway_settings import Mode, SchedulingSettings
from spanfall_core.gateway.contention.waiting import AdmissionTerms, Asker
from spanfall_node.gateway.home.turns import Turns
from spanfall_node.gateway.links.contention_messages import HeldTicket
from spanfall_node.gateway.tables.contention import ContentionState
from spanfall_node.gateway.tables.tenure import Tenure
from spanfall_node.gateway.upstreams.admitting import answer_request
from support import wait_until
from test_gateway_contention_node import request_of

#: Seconds of a suspension: past the lease of the home, and past the time that
#: callers of the suspended process have, but not past that of others.
SUSPENDED_SECONDS = 3.0
#: Seconds of it after which runs end: before a home takes the upstream to be
#: so slow that it rejects what it holds.
OPENED_SECONDS = 0.3
SHORT_MS = '2000'
#: Seconds after its return within which a process answers them.
RETURN_SECONDS = 0.5
#: First numbers of the attempts of its callers, and of those before.
OWN_NUMBERS = 100
FIRST_NUMBERS = 1000

pytestmark = pytest.mark.usefixtures('patient_entries')


@contextmanager
def process_of(cfg, folder):
    """Run a gateway as a process of its own."""
    path = folder / 'settings.json'
    path.write_bytes(msgspec.json.encode(cfg))
    command = [sys.executable, '-m', 'spanfall_node.gateway']
    process = subprocess.Popen([*command, '--settings', str(path)])
    try:
        yield process
    finally:
        process.kill()
        process.wait()


async def is_ready(cfg):
    """Tell whether a gateway counts as ready."""
    try:
        stream = await dial(cfg.listen.readiness)
    except OSError:
        return False
    async with stream:
        await stream.send(request_bytes('/ready'))
        answer = await read_answer(stream)
    return answer.status == 200


async def wait_ready(cfg):
    while not await is_ready(cfg):
        await anyio.sleep(0.05)


async def let_learn(entry, gate, tasks):
    """Let an entry fill one slot, so that it knows the upstream."""
    first = Callers(tasks)
    first.numbers = count(FIRST_NUMBERS)
    sent = 0
    while not gate.running:
        if sent == len(first.answers):
            first.send(entry)
            sent += 1
        await anyio.sleep(0.01)


@asynccontextmanager
async def suspended(process, opened):
    """Suspend a process; upstreams finish their runs meanwhile."""
    process.send_signal(signal.SIGSTOP)
    until = anyio.current_time() + SUSPENDED_SECONDS
    await anyio.sleep(OPENED_SECONDS)
    opened.set()
    yield
    await anyio.sleep(until - anyio.current_time())
    process.send_signal(signal.SIGCONT)


@pytest.mark.parametrize(
    ('valid_until', 'failed_at', 'expected'),
    [
        (1, -math.inf, True),
        # The store is away: renewals fail.
        (-9, -0.5, True),
        # The last attempt was made before a suspension.
        (-1, -3, False),
        (-1, -math.inf, False),
    ],
)
def test_who_may_order(valid_until, failed_at, expected):
    tenure = Tenure(1, 1, valid_until, renewed_at=-9, began_at=-9)
    tenure.failed_at = failed_at
    assert tenure.may_order(0) is expected
    tenure.resign()
    assert not tenure.may_order(0)


@in_world
async def test_a_stale_home_neither_orders_nor_rejects(world):
    """Its queue and its loads are from before the suspension."""
    home = await world.add_gateway()
    await wait_until(lambda: home.is_home(home.timers.now()))
    await world.add_upstream(Gate().run)
    await wait_until(lambda: home.directory.serving(SERVICE))
    queue = home.contention.service(SERVICE).queue
    terms = AdmissionTerms('x', 1, 0, 1, 1, 5)
    home.tenure.valid_until = home.timers.now() - 1
    queue.hold(Asker('e/1', 'before'), terms, home.timers.now())
    answer = answer_request(home, 'e/1', 1, request_of('new', 0))
    Turns(home)._give_turns(world.tasks)
    assert answer.grant is not None
    assert len(queue) == 1


def test_a_new_home_forgets_what_it_withdrew():
    """Its tickets were those of the home before, which is gone."""
    contention = ContentionState()
    contention.withdraw(HeldTicket(SERVICE, 'one', 3))
    contention.begin_tenure()
    assert not contention.withdrawn
    assert contention.home_found.is_set()


@in_world
async def test_a_home_without_the_store_gives_turns(world):
    """Its lease runs out, but no other node can have taken one."""
    home = await world.add_gateway()
    await wait_until(lambda: home.is_home(home.timers.now()))
    world.store.error_status = 503
    await wait_until(lambda: not home.is_home(home.timers.now()))
    for _ in range(20):
        assert home.tenure.may_order(home.timers.now())
        await anyio.sleep(0.05)


def test_the_home_is_suspended(tmp_path):
    """Entries go on without it; on its return it ends what is too late."""

    @in_world
    async def play(world):
        scheduling = SchedulingSettings(contention=Mode.ON)
        cfg = await world.new_settings(scheduling=scheduling)
        with process_of(cfg, tmp_path) as process:
            await wait_ready(cfg)
            await wait_until(
                lambda: any('home' in key for key in world.store.items)
            )
            entry = await world.add_gateway()
            await wait_until(lambda: is_linked(entry))
            turn_on(entry)
            await _suspend_home(world, entry, cfg, process)

    async def _suspend_home(world, entry, cfg, process):
        gate = Gate()
        upstream = await world.add_upstream(gate.run)
        home = SimpleNamespace(cfg=cfg)
        await wait_until(lambda: entry.directory.serving(SERVICE))
        async with anyio.create_task_group() as tasks:
            callers, own = Callers(tasks), Callers(tasks)
            own.numbers = count(OWN_NUMBERS)
            for _ in range(SLOTS):
                callers.send(entry)
            await wait_until(lambda: gate.running == SLOTS)
            for _ in range(3):
                callers.send(entry)
            await wait_until(lambda: len(entry.contention.held) == 3)
            own.send(home, left_ms=SHORT_MS)
            await anyio.sleep(0.2)
            async with suspended(process, gate.opened):
                await callers.all_answered(SLOTS + 3)
            with anyio.fail_after(RETURN_SECONDS):
                await own.all_answered(1)
            own.send(home)
            await own.all_answered(2)
        assert callers.statuses() == {200: SLOTS + 3}
        assert own.statuses() == {503: 1, 200: 1}
        assert set(runs_of(upstream).values()) == {1}

    play()


def test_an_entry_is_suspended(tmp_path):
    """Its turns lapse; on its return its requests end by their own clocks."""

    @in_world
    async def play(world):
        home = await world.add_gateway()
        await wait_until(lambda: home.is_home(home.timers.now()))
        turn_on(home)
        scheduling = SchedulingSettings(contention=Mode.ON)
        cfg = await world.new_settings(scheduling=scheduling)
        with process_of(cfg, tmp_path) as process:
            await wait_ready(cfg)
            await _suspend_entry(world, home, cfg, process)

    async def _suspend_entry(world, home, cfg, process):
        gate = Gate()
        entry = SimpleNamespace(cfg=cfg)
        async with anyio.create_task_group() as tasks:
            callers, own = Callers(tasks), Callers(tasks)
            own.numbers = count(OWN_NUMBERS)
            upstream = await world.add_upstream(gate.run)
            await let_learn(entry, gate, tasks)
            for _ in range(SLOTS - 1):
                callers.send(home)
            await wait_until(lambda: running_by(home) == SLOTS)
            own.send(entry, left_ms=SHORT_MS)
            own.send(entry)
            await wait_until(lambda: held_at(home) == 2)
            async with suspended(process, gate.opened):
                # Turns that the entry does not take are free again.
                callers.send(home)
                await callers.all_answered(SLOTS)
            await own.all_answered(2)
            await wait_until(lambda: not held_at(home) + running_by(home))
        assert callers.statuses() == {200: SLOTS}
        assert own.statuses() == {503: 1, 200: 1}
        assert set(runs_of(upstream).values()) == {1}

    play()
