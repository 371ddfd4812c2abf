"""All gateways come back at once, and their callers press on."""

import socket
from random import Random

import anyio
import pytest
from contention_world import SLOTS, Gate, held_at, is_linked
from gateway_world import in_world
from soak_faults import restart_all
from soak_world import NO_LIMIT, ROUTES, WORKSPACES, Call, Course, memory_of
from spanfall_core.gateway.contention.room import MAX_WAITING_CALLS
from support import wait_until
from test_gateway_contention_node import decided_alone

#: Callers that send again as soon as they are answered.
CALLERS = 24
#: Seconds of a run at the only upstream.
RUN_SECONDS = 0.2
#: Seconds after all found the new home until what was sent without it has run,
#: and for which the load is watched.
SETTLE_SECONDS = 1.0
WATCHED_SECONDS = 2.0

pytestmark = pytest.mark.usefixtures('patient_entries')


async def press(course, number, ended):
    """Send one request after another until told to end."""
    rng = Random(number)
    known = ROUTES[number % 2]
    workspace = WORKSPACES[number % 2]
    while not ended.is_set():
        body = b'%d' % next(course.numbers)
        await course.call(rng, Call(known, workspace, body, known.timeout))
        await anyio.sleep(0.02)


def all_linked(course):
    return course.home() is not None and all(
        is_linked(row.state) for row in course.gateways
    )


def sent_alone(course):
    return sum(decided_alone(row.state) for row in course.gateways)


@in_world
async def test_a_gateway_that_ends_closes_its_port(world):
    """A caller that it has not accepted yet does not wait for an answer."""
    life = anyio.CancelScope()
    state = await world.add_killable_gateway(life)
    host, _, port = state.cfg.listen.callers.rpartition(':')
    with socket.create_connection((host, int(port))) as caller:
        # No task ran since, so the gateway has not accepted this connection.
        life.cancel()
        with anyio.fail_after(SETTLE_SECONDS * 5):
            await anyio.wait_readable(caller)


@in_world
async def test_a_restarted_fleet_finds_its_order_again(world):
    """The order is empty, the upstream is not overfull, all memory is freed."""
    course = Course(world, 0, set())
    course.configure(Random(0), NO_LIMIT)
    gate = Gate(seconds=RUN_SECONDS)
    await world.add_upstream(gate.run)
    await course.start_gateways()
    ended = anyio.Event()
    async with anyio.create_task_group() as tasks:
        await wait_until(lambda: all_linked(course))
        for number in range(CALLERS):
            tasks.start_soon(press, course, number, ended)
        await wait_until(lambda: held_at(course.home().state) > SLOTS)
        await restart_all(course, Random(0), 0)
        await wait_until(lambda: all_linked(course))
        await anyio.sleep(SETTLE_SECONDS)
        alone = sent_alone(course)
        gate.most_running = gate.running
        await anyio.sleep(WATCHED_SECONDS)
        alone = sent_alone(course) - alone
        assert held_at(course.home().state)
        assert gate.most_running <= SLOTS * (1 + MAX_WAITING_CALLS) + alone
        ended.set()
    await wait_until(
        lambda: not any(memory_of(row.state) for row in course.gateways)
    )
    course.judge()
    assert not course.broken
