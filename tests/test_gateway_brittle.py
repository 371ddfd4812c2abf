"""Upstreams that end when they reject too often get only what they have room for."""

import anyio
import pytest
from gateway_world import ask, in_world
from hypothesis import given
from hypothesis import strategies as st
from spanfall_core.gateway.limits.brittle import (
    MAX_PAUSE_SECONDS,
    BrittleRooms,
    own_share,
    pause_seconds,
)
from spanfall_standins.gateway.upstream import BrittlePlaces
from support import wait_until

#: Places that the list of upstreams states in these tests.
LISTED_SLOTS = 4


async def ask_at_once(states, count):
    """Return the statuses of requests that all entries get at once."""
    statuses = []

    async def ask_one(number):
        state = states[number % len(states)]
        answer = await ask(state, f'/any/{number}', attempt=f'a{number}')
        statuses.append(answer.status)

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(ask_one, number)
    return statuses


async def start(world, places, entries=3):
    """Return entries that all know that the upstreams are brittle."""
    for one in places:
        await world.add_upstream(one.respond)
    states = [await world.add_gateway() for _ in range(entries)]
    for number in range(4 * len(places)):
        await ask(states[0], f'/any/w{number}', attempt=f'w{number}')
    known = len(places)
    await wait_until(
        lambda: all(len(row.words.table.rejections) == known for row in states)
    )
    await anyio.sleep(1)
    return states


# Guards against a burst that makes brittle upstreams end.
@pytest.mark.parametrize('survives', [1, 3])
def test_burst_spares_brittle_upstreams(survives):
    @in_world
    async def run(world):
        places = [BrittlePlaces(LISTED_SLOTS, survives, 0.1) for _ in '12']
        states = await start(world, places)
        statuses = await ask_at_once(states, 40)
        assert not any(one.has_fallen for one in places)
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= 2 * LISTED_SLOTS
        assert set(await ask_at_once(states, 4)) == {200}

    run()


# Guards against a queue that has become shorter than the list says.
def test_less_room_than_listed_is_learned():
    @in_world
    async def run(world):
        places = [BrittlePlaces(LISTED_SLOTS, 1, 0.1) for _ in '123']
        states = await start(world, places)
        for one in places:
            one.slots = LISTED_SLOTS - 1
        for _ in range(3):
            await ask_at_once(states, 16)
            await anyio.sleep(0.5)
        assert not any(one.has_fallen for one in places)

    run()


# Guards against entries without a home that send as if alone.
def test_entries_alone_spare_brittle_upstreams():
    @in_world
    async def run(world):
        places = [BrittlePlaces(LISTED_SLOTS, 1, 0.1) for _ in '12']
        life = anyio.CancelScope()
        home = await world.add_killable_gateway(life)
        await wait_until(lambda: home.tenure is not None)
        states = await start(world, places)
        world.store.error_status = 503
        life.cancel()
        await wait_until(lambda: not any(row.home for row in states))
        await ask_at_once(states, 30)
        assert not any(one.has_fallen for one in places)

    run()


@given(
    st.sampled_from([8, 60, 570]),
    st.floats(0.3, 50),
    st.integers(1, 64),
)
def test_entries_alone_stay_inside_in_sum(entries, survived, slots):
    pause = pause_seconds(survived, entries)
    assert pause == MAX_PAUSE_SECONDS or entries / pause <= survived + 1e-9
    share = own_share(slots, entries)
    assert share == 1 or share * entries <= slots


def test_room_shrinks_and_grows_back():
    rooms = BrittleRooms()
    assert not rooms.is_full('u', 4, 3, 0)
    rooms.record_rejections('u', 3, 2, 0)
    assert rooms.is_full('u', 4, 0, 0.6)
    assert rooms.is_full('u', 4, 2, 0.7)
    assert not rooms.is_full('u', 4, 1, 0.7)
    assert not rooms.is_full('u', 4, 2, 2.1)
    assert rooms.is_full('u', 4, 4, 9)
