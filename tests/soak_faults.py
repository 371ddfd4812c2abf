"""Inject drawn faults into the fleet of a soak, and end them again."""

import logging
from functools import partial
from random import Random

import anyio
from soak_world import LIMITS
from spanfall_api.gateway_settings import Mode
from spanfall_node.gateway.home.home_links import HomeLinks
from spanfall_node.gateway.home.turns import Turns
from test_gateway_store_restore import mark_leaving

logger = logging.getLogger(__name__)

#: Seconds between the begins of two faults, and how long one lasts.
PAUSES = (0.5, 3.5)
DURATIONS = (0.3, 4.0)


def quiet_links(monkeypatch, silent):
    """Let homes with a key in ``silent`` neither hear nor tell entries."""
    answer, give_turns = HomeLinks._answer, Turns._give_turns

    def answer_heard(links, data, link=None):
        is_heard = links._state.entry_key not in silent
        return answer(links, data, link) if is_heard else None

    def give_heard(turns, tasks):
        links = turns._links
        turns._links = {} if turns._state.entry_key in silent else links
        give_turns(turns, tasks)
        turns._links = links

    monkeypatch.setattr(HomeLinks, '_answer', answer_heard)
    monkeypatch.setattr(Turns, '_give_turns', give_heard)


async def _restart(course, killed, seconds):
    for row in killed:
        course.gateways.remove(row)
        row.life.cancel()
    await anyio.sleep(seconds)
    await course.start_gateways()


async def kill_home(course, rng, seconds):
    home = course.home()
    await _restart(course, [home] if home else [], seconds)


async def kill_entry(course, rng, seconds):
    entries = [row for row in course.gateways if row is not course.home()]
    await _restart(course, entries[:1], seconds)


async def restart_all(course, rng, seconds):
    await _restart(course, list(course.gateways), seconds / 4)


async def cut_home_off(course, rng, seconds):
    """Cut the home off from the store and from all entries."""
    home = course.home()
    if home is not None:
        home.store_gate.is_closed = True
        course.silent.add(home.state.entry_key)
        await anyio.sleep(seconds)
        course.silent.discard(home.state.entry_key)
        home.store_gate.is_closed = False


async def _end_upstream(course, rng, seconds, begin):
    """Begin the end of a drawn upstream; its entry in the store stays."""
    upstreams = course.world.upstreams
    left = [upstreams[key] for key in upstreams if key not in course.ending]
    if left:
        chosen = rng.choice(left)
        course.ending.add(chosen.lifetime)
        begin(chosen)
        await anyio.sleep(seconds)
        course.world.remove_entry(chosen)
        await course.add_upstream()


async def crash_upstream(course, rng, seconds):
    def crash(upstream):
        upstream.process_scope.cancel()

    await _end_upstream(course, rng, seconds, crash)


async def drain_upstream(course, rng, seconds):
    leave = partial(mark_leaving, course.world)
    await _end_upstream(course, rng, seconds, leave)


async def reject_all(course, rng, seconds):
    """Let all upstreams reject, and end nodes meanwhile."""
    course.rejecting += 1
    await anyio.sleep(seconds / 2)
    end = rng.choice((kill_entry, restart_all, cut_home_off))
    await end(course, rng, seconds / 2)
    course.rejecting -= 1


async def take_store_away(course, rng, seconds):
    course.outages += 1
    course.world.store.error_status = 503
    await anyio.sleep(seconds)
    course.outages -= 1
    if not course.outages:
        course.world.store.error_status = 0


async def configure(course, rng, seconds):
    course.configure(rng, LIMITS)


async def switch_off(course, rng, seconds):
    course.switch(Mode.OFF)
    await anyio.sleep(seconds)
    course.switch(Mode.ON)


FAULTS = (
    kill_home,
    kill_entry,
    restart_all,
    cut_home_off,
    crash_upstream,
    drain_upstream,
    reject_all,
    take_store_away,
    configure,
    switch_off,
)


async def inject_faults(course, until):
    """Inject each fault once, then drawn ones; they overlap."""
    rng = Random(f'{course.seed}/faults')
    order = rng.sample(FAULTS, len(FAULTS))
    async with anyio.create_task_group() as tasks:
        while anyio.current_time() < until:
            fault = order.pop() if order else rng.choice(FAULTS)
            seconds = rng.uniform(*DURATIONS)
            logger.info('%s for %.1f s', fault.__name__, seconds)
            tasks.start_soon(fault, course, rng, seconds)
            await anyio.sleep(rng.uniform(*PAUSES))
