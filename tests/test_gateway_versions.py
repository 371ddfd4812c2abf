"""A stream goes on only at the software version that began it."""

import time

import pytest
from gateway_world import ask, in_world, read_answer
from spanfall_core.gateway.known.origins import MAX_VERSION_CHARS
from support import wait_until
from versions_world import (
    EVENTS,
    NEW,
    OLD,
    VersionedEvents,
    add_upstreams,
    all_listed,
    first_event_of,
    ids_of,
    versions_of,
)

WHOLE = list(range(1, EVENTS + 1))
ATTEMPTS = 8


def listed_versions(state):
    return {row.software_version for row in state.directory.rows.values()}


# Guards against events of two versions in one response.
@in_world
async def test_a_broken_stream_goes_on_at_its_version(world):
    await add_upstreams(world, OLD, count=2, breaks_after=2)
    await add_upstreams(world, NEW, count=4)
    state = await world.add_gateway()
    answers = [
        await ask(state, '/resume/7', attempt=f'a{number}')
        for number in range(ATTEMPTS)
    ]
    assert all(answer.complete for answer in answers)
    assert all(ids_of(answer.body) == WHOLE for answer in answers)
    assert all(len(versions_of(answer.body)) == 1 for answer in answers)


# Guards against a response that ends with events of another version.
@in_world
async def test_a_stream_whose_version_is_gone_is_cut(world):
    begun = VersionedEvents(OLD, breaks_after=2)
    await world.add_upstream(begun.run)
    state = await world.add_gateway()
    async with first_event_of(state, 'a1') as stream:
        await add_upstreams(world, NEW, count=3)
        await all_listed(world, state)
        begun.goes_on.set()
        answer = await read_answer(stream)
    assert versions_of(answer.body) == [OLD]
    assert not answer.complete


# Guards against a stream that could go on and is cut.
@in_world
async def test_a_run_without_events_binds_nothing(world):
    await add_upstreams(world, OLD, count=1, breaks_after=0)
    await add_upstreams(world, NEW, count=1)
    state = await world.add_gateway()
    answers = [
        await ask(state, '/resume/7', attempt=f'a{number}')
        for number in range(ATTEMPTS)
    ]
    assert all(answer.complete for answer in answers)
    assert all(versions_of(answer.body) == [NEW] for answer in answers)


# Guards against taking an entry without a readable version for any other.
@pytest.mark.parametrize(
    'version', [None, '', 7, 'v' * (MAX_VERSION_CHARS + 1)]
)
def test_an_unknown_version_equals_nothing(version):
    @in_world
    async def play(world):
        await add_upstreams(world, version, count=2, breaks_after=2)
        state = await world.add_gateway()
        answer = await ask(state, '/resume/7')
        assert not answer.complete
        assert ids_of(answer.body) == [1, 2]

    play()


# Guards against taking the version of a process that had ended already.
@pytest.mark.parametrize('seconds_before', [0.5, -60])
def test_a_start_under_the_same_id(seconds_before):
    @in_world
    async def play(world):
        began_ms = round(time.time() * 1000)
        begun = VersionedEvents(OLD, breaks_after=2)
        upstream = await world.add_upstream(begun.run, born=began_ms - 60_000)
        state = await world.add_gateway()
        async with first_event_of(state, 'a1') as stream:
            await add_upstreams(world, OLD)
            world.change_entry(
                upstream,
                software_version=NEW,
                born=began_ms - round(seconds_before * 1000),
            )
            await wait_until(lambda: len(listed_versions(state)) == 2)
            begun.goes_on.set()
            answer = await read_answer(stream)
        assert answer.complete is (seconds_before < 0)

    play()
