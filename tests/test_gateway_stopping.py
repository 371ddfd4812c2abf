"""Test that a node that stops answers each request that it has read.

Each test stops one node within a short grace period and looks at requests that
wait somewhere, or are at an upstream, as it ends.
"""

import signal
from dataclasses import replace

import anyio
import pytest
from contention_world import (
    SLOTS,
    Callers,
    Gate,
    add_fleet,
    fill_and_hold,
    held_at,
)
from gateway_world import (
    ask,
    dial,
    in_world,
    read_answer,
    request_bytes,
    route,
)
from spanfall_core.gateway.known.configuration import RouteKind
from spanfall_node.gateway.lifecycle import shut_down, stop_on_signal
from spanfall_node.gateway.requests.refusals import DRAINING_RETRY_SECONDS
from spanfall_node.gateway.upstreams.service_room import current_room
from spanfall_standins.gateway.upstream import complete_response
from support import wait_until

pytestmark = pytest.mark.usefixtures('patient_entries')

#: Seconds of the grace period, and time after which a run of an upstream ends.
GRACE_SECONDS = 4.6
RUN_SECONDS = 30.0
ADMITTING = 'spanfall_node.gateway.upstreams.admitting'
#: Bytes of a body of which only a part arrives.
BODY_BYTES = 4096


async def stop(world, state):
    """Stop a node as by a signal, and check that it keeps the grace period."""
    gateway = world.gateways[state.cfg.node]
    began_at = state.timers.now()
    with anyio.fail_after(GRACE_SECONDS):
        await shut_down(state, gateway.callers, gateway.leadership)
    assert not state.open_requests
    return state.timers.now() - began_at


def is_not_run(answer):
    """Return whether an answer says that the request has not run."""
    return answer.complete and answer.status == 503


# Guards against closed connections of requests that wait for room, at an entry
# and at the home.
@pytest.mark.parametrize('stops_home', [False, True])
def test_requests_held_for_room_are_answered(stops_home):
    @in_world
    async def play(world):
        home, (entry,) = await add_fleet(world, 2, stop_seconds=GRACE_SECONDS)
        node = home if stops_home else entry
        gate = Gate(seconds=RUN_SECONDS)
        async with anyio.create_task_group() as tasks:
            holders, callers = Callers(tasks), Callers(tasks)
            other = entry if stops_home else home
            await fill_slots(world, holders, other, home, gate)
            for _ in range(3):
                callers.send(node, '/patient/1')
            await wait_until(lambda: held_at(home) == 3)
            await stop(world, node)
            await callers.all_answered(3)
            gate.opened.set()
        assert all(is_not_run(row) for row in callers.answers.values())
        assert holders.statuses() == {200: SLOTS}

    play()


async def fill_slots(world, callers, state, home, gate):
    """Fill all slots of one upstream from a node."""
    await add_patient_route(world, state, home)
    return await fill_and_hold(
        world, callers, state, gate, 0, home, path='/patient/0'
    )


async def add_patient_route(world, *states):
    """Add a route whose callers wait longer than a node takes to stop."""
    patient = [
        *world.configuration.routes,
        route('/patient/', RouteKind.IDEMPOTENT, timeout=RUN_SECONDS),
    ]
    version = world.configure(routes=patient)
    await wait_until(lambda: all(one.version == version for one in states))


# Guards against holding until the end what is known not to be served by then.
def test_what_cannot_be_served_is_refused_early(monkeypatch):
    def slow_room(state, service, now):
        room = current_room(state, service, now)
        return replace(room, work_rate=1 / (2 * GRACE_SECONDS))

    @in_world
    async def play(world):
        home, (entry,) = await add_fleet(world, 2, stop_seconds=GRACE_SECONDS)
        gate = Gate(seconds=RUN_SECONDS)
        async with anyio.create_task_group() as tasks:
            holders, callers = Callers(tasks), Callers(tasks)
            await fill_slots(world, holders, home, home, gate)
            for _ in range(3):
                callers.send(entry, '/patient/1')
            await wait_until(lambda: held_at(home) == 3)
            monkeypatch.setattr(f'{ADMITTING}.current_room', slow_room)
            began_at = entry.timers.now()
            tasks.start_soon(stop, world, entry)
            await wait_until(lambda: len(callers.answers) >= 2)
            assert entry.timers.now() - began_at < 1
            gate.opened.set()
        refused = filter(is_not_run, callers.answers.values())
        assert all(float(row.headers['retry-after']) for row in refused)

    play()


# Guards against 503 for what was sent, and against no answer at all.
@in_world
async def test_what_was_sent_is_answered_as_unknown(world):
    gate = Gate(seconds=RUN_SECONDS)
    upstream = await world.add_upstream(gate.run)
    state = await world.add_gateway(stop_seconds=GRACE_SECONDS)
    await add_patient_route(world, state)
    async with anyio.create_task_group() as tasks:
        callers = Callers(tasks)
        callers.send(state, '/patient/1')
        await wait_until(lambda: gate.running == 1)
        seconds = await stop(world, state)
        await callers.all_answered(1)
        gate.opened.set()
    assert callers.statuses() == {504: 1}
    assert len(upstream.received_requests) == 1
    assert seconds > GRACE_SECONDS - 1


# Guards against dropping an answer that comes in the last moments.
@in_world
async def test_answer_in_the_last_second_is_delivered(world):
    gate = Gate(seconds=GRACE_SECONDS - 1)
    await world.add_upstream(gate.run)
    state = await world.add_gateway(stop_seconds=GRACE_SECONDS)
    await add_patient_route(world, state)
    async with anyio.create_task_group() as tasks:
        callers = Callers(tasks)
        callers.send(state, '/patient/1')
        await wait_until(lambda: gate.running == 1)
        await stop(world, state)
        await callers.all_answered(1)
    assert callers.statuses() == {200: 1}


# Guards against a closed connection of a request whose body is still arriving.
@in_world
async def test_a_request_with_half_a_body_is_answered(world):
    await world.add_upstream(complete_response())
    state = await world.add_gateway(stop_seconds=GRACE_SECONDS)
    whole = request_bytes('/once/1', body=b'x' * BODY_BYTES)
    stream = await dial(state.cfg.listen.callers)
    async with stream:
        await stream.send(whole[: -BODY_BYTES // 2])
        await wait_until(lambda: state.open_requests == 1)
        await stop(world, state)
        answer = await read_answer(stream)
    assert is_not_run(answer)
    assert answer.headers['connection'] == 'close'


# Guards against an answer that is lost with the connection's pipelined bytes.
@in_world
async def test_request_before_a_pipelined_one(world):
    gate = Gate(seconds=RUN_SECONDS)
    await world.add_upstream(gate.run)
    state = await world.add_gateway(stop_seconds=GRACE_SECONDS)
    await add_patient_route(world, state)
    stream = await dial(state.cfg.listen.callers)
    async with stream:
        await stream.send(request_bytes('/patient/1'))
        await wait_until(lambda: gate.running == 1)
        await stream.send(request_bytes('/patient/2', attempt='a2'))
        await stop(world, state)
        answer = await read_answer(stream)
        gate.opened.set()
    assert (answer.status, answer.complete) == (504, True)


# Guards against a second signal that ends the process at once.
@in_world
async def test_second_signal_changes_nothing(world):
    state = await world.add_gateway(stop_seconds=GRACE_SECONDS)
    gateway = world.gateways[state.cfg.node]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            stop_on_signal,
            state,
            gateway.callers,
            gateway.leadership,
            tasks.cancel_scope,
        )
        await wait_until(lambda: has_handler(signal.SIGTERM))
        signal.raise_signal(signal.SIGTERM)
        await wait_until(lambda: state.draining_since is not None)
        assert has_handler(signal.SIGTERM)
        signal.raise_signal(signal.SIGTERM)
        assert (await ask(state, '/once/1')).complete


def has_handler(number):
    """Return whether the process handles a signal itself."""
    return signal.getsignal(number) not in {signal.SIG_DFL, signal.SIG_IGN}


# Guards against a caller who is told nothing of when to come back.
@in_world
async def test_refusal_at_the_end_has_retry_after(world):
    state = await world.add_gateway(stop_seconds=GRACE_SECONDS)
    whole = request_bytes('/once/1', body=b'x' * BODY_BYTES)
    stream = await dial(state.cfg.listen.callers)
    async with stream:
        await stream.send(whole[:-1])
        await wait_until(lambda: state.open_requests == 1)
        await stop(world, state)
        answer = await read_answer(stream)
    assert float(answer.headers['retry-after']) == DRAINING_RETRY_SECONDS
