"""The home gives no turns for upstreams that asked any entry to back off."""

import anyio
from contention_world import add_fleet
from gateway_world import SERVICE, ask, in_world
from spanfall_api.gateway_settings import Mode, SchedulingSettings
from spanfall_node.gateway.upstreams.fleet_backoffs import (
    MAX_REPORTED_BACKOFFS,
    take_backoffs,
)
from spanfall_node.gateway.upstreams.service_room import current_room
from spanfall_standins.gateway.upstream import complete_response, refused
from support import wait_until

BACKOFF_SECONDS = 1.0


def opened(home):
    """Return the upstreams with room, computed now."""
    home.contention.service(SERVICE).room = None
    current_room(home, SERVICE, home.timers.now())
    return set(home.contention.service(SERVICE).openings)


async def refuse_one(world, entry, home):
    """Let one of two upstreams refuse a request of an entry."""
    await world.add_upstream(complete_response())
    busy = await world.add_upstream(refused())
    busy.statement_headers = {'back-off': str(BACKOFF_SECONDS)}
    await wait_until(lambda: len(entry.directory.serving(SERVICE)) == 2)
    await wait_until(lambda: len(home.directory.serving(SERVICE)) == 2)
    for number in range(20):
        await ask(entry, '/any/1', attempt=f'a{number}')
        if entry.words.backoffs.active(entry.timers.now()):
            return
    raise AssertionError('No request reached the refusing upstream')


@in_world
async def test_room_leaves_out_who_backs_off(world):
    home, (entry,) = await add_fleet(world, 2)
    await refuse_one(world, entry, home)
    await wait_until(lambda: len(opened(home)) == 1)
    assert not opened(home) & entry.words.backoffs.active(entry.timers.now())
    assert not entry.words.unreported_backoffs
    await anyio.sleep(BACKOFF_SECONDS)
    assert len(opened(home)) == 2


@in_world
async def test_backoffs_stay_untold_where_it_is_off(world):
    """Without contention, a back-off concerns the entry that was asked."""
    home, (entry,) = await add_fleet(world, 2)
    for state in (home, entry):
        state.scheduling.cfg = SchedulingSettings(contention=Mode.OFF)
    await refuse_one(world, entry, home)
    assert not entry.words.unreported_backoffs
    assert not home.words.fleet_backoffs.active(home.timers.now())


@in_world
async def test_messages_with_backoffs_are_bounded(world):
    """Many upstreams ask at once; the newest are told first."""
    entry = await world.add_gateway()
    for number in range(MAX_REPORTED_BACKOFFS + 4):
        entry.words.backoffs.record(f'u-{number}', 5, entry.timers.now())
        entry.words.unreported_backoffs[f'u-{number}'] = None
    sizes = [len(take_backoffs(entry, entry.timers.now())) for _ in range(3)]
    assert sizes == [MAX_REPORTED_BACKOFFS, 4, 0]
