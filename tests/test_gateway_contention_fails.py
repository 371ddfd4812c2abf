"""Held requests outlast each failure: none is lost, late or run twice."""

import math
import time
from functools import partial
from types import SimpleNamespace

import anyio
import pytest
from contention_world import (
    SLOTS,
    Callers,
    Gate,
    add_fleet,
    fill_and_hold,
    held_at,
    is_linked,
    runs_of,
    turn_on,
)
from gateway_world import SERVICE, ask, dial, in_world, request_bytes
from prometheus_client import Counter
from spanfall_core.gateway.contention.waiting import AdmissionTerms, Asker
from spanfall_node.gateway.home.home_links import HomeLinks
from spanfall_node.gateway.home.turns import Turns
from spanfall_node.gateway.links.contention_messages import (
    HeldTicket,
    HeldTurn,
    HoldsEndedMessage,
)
from spanfall_node.gateway.links.messages import encode
from spanfall_node.gateway.tables.contention import ContentionState
from spanfall_node.gateway.tables.tenure import Tenure
from spanfall_node.gateway.upstreams.held_requests import (
    HOME_WAIT_SECONDS,
    wait_for_turn,
)
from support import run_async, wait_until

TURNS = 'spanfall_node.gateway.home.turns'

pytestmark = pytest.mark.usefixtures('patient_entries')


@pytest.mark.parametrize('has_successor', [True, False])
def test_the_home_ends_with_requests_held(has_successor):
    """The next home, or the entry alone, serves each of them once."""

    @in_world
    async def play(world):
        life = anyio.CancelScope()
        home = await world.add_killable_gateway(life)
        await wait_until(lambda: home.is_home(home.timers.now()))
        entry = await world.add_gateway()
        await wait_until(lambda: is_linked(entry))
        turn_on(home, entry)
        gate = Gate()
        async with anyio.create_task_group() as tasks:
            callers = Callers(tasks)
            upstream = await fill_and_hold(world, callers, entry, gate, 3, home)
            if not has_successor:
                world.store.error_status = 500
            life.cancel()
            await wait_until(lambda: not len(entry.contention.held))
            gate.opened.set()
            await callers.all_answered(SLOTS + 3)
        assert callers.statuses() == {200: SLOTS + 3}
        assert set(runs_of(upstream).values()) == {1}

    play()


def test_the_home_falls_silent(monkeypatch):
    """Held requests of an entry that is cut off go on without the home."""

    @in_world
    async def play(world):
        home, (entry,) = await add_fleet(world, 2)
        gate = Gate()
        async with anyio.create_task_group() as tasks:
            callers = Callers(tasks)
            upstream = await fill_and_hold(world, callers, entry, gate, 3, home)
            monkeypatch.setattr(HomeLinks, '_answer', lambda *_: None)
            monkeypatch.setattr(Turns, '_give_turns', lambda *_: None)
            await wait_until(lambda: not len(entry.contention.held))
            gate.opened.set()
            await callers.all_answered(SLOTS + 3)
        assert callers.statuses() == {200: SLOTS + 3}
        assert set(runs_of(upstream).values()) == {1}

    play()


@in_world
async def test_the_home_resigns_with_requests_held(world):
    """A home that stops leaves its held requests to the next one."""
    home, (entry,) = await add_fleet(world, 2)
    gate = Gate()
    async with anyio.create_task_group() as tasks:
        callers = Callers(tasks)
        upstream = await fill_and_hold(world, callers, entry, gate, 3, home)
        home.draining_since = home.timers.now()
        home.tenure.resign()
        entry.record_vacant_home(home.tenure.epoch)
        await wait_until(lambda: not held_at(home))
        gate.opened.set()
        await callers.all_answered(SLOTS + 3)
    assert callers.statuses() == {200: SLOTS + 3}
    assert set(runs_of(upstream).values()) == {1}


@in_world
async def test_a_draining_entry_serves_what_is_held(world):
    home, (entry,) = await add_fleet(world, 2)
    gate = Gate()
    async with anyio.create_task_group() as tasks:
        callers = Callers(tasks)
        await fill_and_hold(world, callers, entry, gate, 3, home)
        entry.draining_since = entry.timers.now()
        gate.opened.set()
        await callers.all_answered(SLOTS + 3)
    assert callers.statuses() == {200: SLOTS + 3}


@in_world
async def test_turns_without_the_store(world):
    home, (entry,) = await add_fleet(world, 2)
    gate = Gate()
    async with anyio.create_task_group() as tasks:
        callers = Callers(tasks)
        upstream = await fill_and_hold(world, callers, entry, gate, 3, home)
        world.store.error_status = 500
        gate.opened.set()
        await callers.all_answered(SLOTS + 3)
    assert callers.statuses() == {200: SLOTS + 3}
    assert set(runs_of(upstream).values()) == {1}


@pytest.mark.parametrize('by_home', [True, False])
def test_a_caller_leaves_while_held(by_home):
    """Its request leaves the order and is sent to no upstream."""

    @in_world
    async def play(world):
        home, (entry,) = await add_fleet(world, 2)
        asked = home if by_home else entry
        gate = Gate()
        async with anyio.create_task_group() as tasks:
            callers = Callers(tasks)
            upstream = await fill_and_hold(world, callers, asked, gate, 1, home)
            stream = await dial(asked.cfg.listen.callers)
            await stream.send(request_bytes('/any/2', 'gone'))
            await wait_until(lambda: held_at(home) == 2)
            await stream.aclose()
            await wait_until(lambda: held_at(home) == 1)
            gate.opened.set()
            await callers.all_answered(SLOTS + 1)
        assert not runs_of(upstream)['gone']

    play()


@in_world
async def test_a_deadline_ends_a_hold(world):
    """A request whose turn never comes is answered within its time."""
    home, (entry,) = await add_fleet(world, 2)
    gate = Gate()
    async with anyio.create_task_group() as tasks:
        callers = Callers(tasks)
        upstream = await fill_and_hold(world, callers, entry, gate, 1, home)
        answer = await ask(entry, '/any/2', attempt='late', left_ms='300')
        assert answer.status == 503
        await wait_until(lambda: held_at(home) == 1)
        gate.opened.set()
        await callers.all_answered(SLOTS + 1)
    assert not runs_of(upstream)['late']


def test_the_home_ends_between_rounds(monkeypatch):
    """They ask the next home at once, also if it ends while no turn is due."""
    rounds = anyio.Event()

    def next_turns(*_):
        rounds.set()
        return ()

    monkeypatch.setattr(f'{TURNS}.next_turns', next_turns)
    monkeypatch.setattr(f'{TURNS}.MIN_ROUND_SECONDS', 0.1)

    async def play():
        contention = ContentionState()
        state = SimpleNamespace(
            contention=contention,
            tenure=Tenure(1, 1, math.inf, renewed_at=0, began_at=0),
            timers=SimpleNamespace(now=time.monotonic),
            entry_key='home',
        )
        told = []
        link = SimpleNamespace(send=partial(append_to, told))
        home_turns = Turns(state)
        home_turns.add('e/1', link)
        terms = AdmissionTerms('a', 1, 0, 1, 1, 5)
        queue = contention.service(SERVICE).queue
        queue.hold(Asker('e/1', 'one'), terms, time.monotonic())
        contention.has_work.set()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(home_turns.run)
            await rounds.wait()
            contention.end_tenure()
            state.tenure = None
            await wait_until(lambda: told == [encode(HoldsEndedMessage())])
            tasks.cancel_scope.cancel()

    run_async(play)


async def append_to(told, data):
    told.append(data)


def test_a_broken_link_drops_its_holds():
    """No turn goes to an entry that ended, but those of others remain."""
    contention = ContentionState()
    home_turns = Turns(SimpleNamespace(contention=contention))
    terms = AdmissionTerms('a', 1, 0, 1, 1, 5)
    queue = contention.service(SERVICE).queue
    links = {entry: SimpleNamespace() for entry in ('e/1', 'e/2')}
    for entry, link in links.items():
        home_turns.add(entry, link)
        queue.hold(Asker(entry, 'one'), terms, 0)
    home_turns.remove(links['e/1'])
    assert queue.next_turn(0).asker.entry_key == 'e/2'
    assert not len(queue)


@pytest.mark.parametrize(
    ('found_after', 'shortest', 'longest'),
    [(0.1, 0.1, 0.4), (5, HOME_WAIT_SECONDS, HOME_WAIT_SECONDS + 0.4)],
)
def test_a_lost_hold_waits_for_the_next_home(found_after, shortest, longest):
    """It goes on when there is one, or after a bounded time without any."""
    contention = ContentionState()
    state = SimpleNamespace(
        contention=contention,
        counters=SimpleNamespace(
            scheduling=SimpleNamespace(
                held_requests=Counter('held', 'Held.', registry=None)
            )
        ),
        timers=SimpleNamespace(now=time.monotonic),
    )
    exchange = SimpleNamespace(held_seconds=0, ticket=0)

    async def find_home():
        await anyio.sleep(found_after)
        contention.find_home()

    async def play():
        ticket = HeldTicket(SERVICE, 'one', 3)
        wait = contention.held.add(HeldTurn(ticket, 9), time.monotonic())
        contention.lose_home()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(find_home)
            await wait_for_turn(state, exchange, wait)
            tasks.cancel_scope.cancel()

    run_async(play)
    assert shortest <= exchange.held_seconds <= longest
    assert not exchange.ticket
    assert not contention.withdrawn
