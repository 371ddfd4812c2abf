"""Test that streams go on after all nodes ended, beside another version."""

import anyio
import pytest
from anyio.lowlevel import checkpoint
from gateway_world import in_world
from spanfall_node.gateway.home.stream_rows import ROW_PREFIX, StreamRows
from spanfall_node.gateway.store.store_errors import StoreRefusedError
from spanfall_node.gateway.upstreams.granting import NO_HOME_RETRY_SECONDS
from spanfall_node.gateway.upstreams.stream_lookup import (
    SETTLE_SECONDS,
    sole_origin,
)
from support import wait_until
from versions_world import (
    CALLERS,
    NEW,
    OLD,
    REST,
    Fleet,
    VersionedEvents,
    all_listed,
    begin_streams,
    check_taken_up,
    first_event_of,
    fleet_of_two_versions,
    ids_of,
    serve_both,
    take_up,
    versions_of,
)

#: Seconds for which a service must have had one version.
PROVED_SECONDS = 60.0
#: Seconds within which the store names streams that have begun.
STORED_SECONDS = 1.0


async def restart(world, fleet, size=2):
    """End all nodes at once, and start others."""
    await fleet.end(*fleet.states())
    again = Fleet(world)
    await again.start(size)
    await all_listed(world, *again.states())
    return again


# Guards against refusing what one version began since another one came later.
@pytest.mark.parametrize('where', ['home', 'entry'])
def test_streams_from_before_a_new_version(where):
    @in_world
    async def play(world):
        fleet = await fleet_of_two_versions(world, 2)
        home, (entry,) = fleet.home(), fleet.entries()
        attempts = await begin_streams({'home': home, 'entry': entry}[where])
        await serve_both(world, *fleet.states())
        await anyio.sleep(STORED_SECONDS)
        again = await restart(world, fleet)
        await check_taken_up(again.entries()[0], attempts)
        await check_taken_up(again.home(), attempts)

    play()


async def begin_and_note(state):
    """Begin streams; return the version that each caller has an event of."""
    versions = {}
    for number in range(2 * CALLERS):
        async with first_event_of(state, f'a{number}') as stream:
            versions[f'a{number}'] = versions_of(stream.seen)[0]
    return versions


# Guards against refusing what was begun while both versions served, and against
# the rest of the other version; also once one of them has left.
@pytest.mark.parametrize('left', [None, OLD, NEW])
def test_streams_from_beside_another_version(left):
    @in_world
    async def play(world):
        runs = {version: VersionedEvents(version) for version in (OLD, NEW)}
        for version in (OLD, NEW, OLD, NEW):
            await world.add_upstream(
                runs[version].run, software_version=version
            )
        fleet = Fleet(world)
        await fleet.start(2)
        await all_listed(world, *fleet.states())
        begun = await begin_and_note(fleet.entries()[0])
        assert set(begun.values()) == {OLD, NEW}
        await anyio.sleep(STORED_SECONDS)
        for upstream in list(world.upstreams.values()):
            if upstream.behaviour.__self__.version == left:
                world.remove_entry(world.upstreams.pop(upstream.lifetime))
        again = await restart(world, fleet)
        for events in runs.values():
            events.goes_on.set()
        for attempt, version in begun.items():
            answer = await take_up(
                again.entries()[0], attempt, 1, attempt=f'{attempt}-second'
            )
            if version == left:
                assert answer.status == 503
            else:
                assert ids_of(answer.body) == REST
                assert versions_of(answer.body) == [version]

    play()


def stored_rows(world):
    return [key for key in world.store.items if key.startswith(ROW_PREFIX)]


def is_version_proved(state):
    """Return whether a node knows that a service has always had one version."""
    return sole_origin(state, '/resume/', PROVED_SECONDS) is not None


# Guards against calls to the store for streams whose origin needs no record.
@in_world
async def test_nothing_is_stored_beside_one_version(world):
    fleet = await fleet_of_two_versions(world, 2)
    await wait_until(lambda: all(map(is_version_proved, fleet.states())))
    await begin_streams(fleet.entries()[0])
    await anyio.sleep(STORED_SECONDS)
    assert not stored_rows(world)
    await serve_both(world, *fleet.states())
    await wait_until(lambda: stored_rows(world))


# Guards against a final refusal by a home that has not read the store yet.
def test_a_home_that_has_not_read_the_store(monkeypatch):
    @in_world
    async def play(world):
        fleet = await fleet_of_two_versions(world, 2)
        attempts = await begin_streams(fleet.entries()[0])
        await serve_both(world, *fleet.states())

        async def fail(rows):
            await checkpoint()
            raise StoreRefusedError

        with monkeypatch.context() as patch:
            patch.setattr(StreamRows, '_read', fail)
            again = await restart(world, fleet)
            await anyio.sleep(SETTLE_SECONDS)
            answer = await take_up(again.home(), attempts[0], 1, attempt='b')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) == NO_HOME_RETRY_SECONDS

    play()
