"""An entry without a path to upstreams serves its callers through peers."""

import anyio
import pytest
from cut_world import ask_often, in_cut_world
from gateway_world import ask
from spanfall_node.gateway.upstreams.paths import SILENCE_SECONDS
from spanfall_standins.gateway.network import Path
from spanfall_standins.gateway.server import encode_response
from spanfall_standins.gateway.upstream import (
    EVENT_STREAM,
    chunk,
    complete_response,
    events,
    silent,
)
from support import wait_until

CUTS = [Path.REFUSES, Path.RESETS, Path.SILENT]


# Guards against callers that are refused because their entry is cut off.
@pytest.mark.parametrize('cut', CUTS)
@pytest.mark.parametrize('path', ['/once/', '/any/', '/stream/'])
def test_cut_entry_serves_first_tries(cut, path):
    behaviour = events(1, 3) if path == '/stream/' else complete_response()

    @in_cut_world(3, 1, behaviour, behaviour)
    async def run(world, states, networks):
        await networks[0].cut(cut)
        assert set(await ask_often(states[0], path)) == {200}
        assert set(await ask_often(states[1], path)) == {200}
        counted = [row.loads.failed for row in states]
        assert not any(map(dict, counted)), counted

    run()


# Guards against requests on idle connections that hang.
@pytest.mark.parametrize('path', ['/any/', '/resume/'])
def test_idle_connections_of_a_cut_entry(path):
    behaviour = events(1, 3) if path == '/resume/' else complete_response()

    @in_cut_world(3, 1, behaviour, behaviour)
    async def run(world, states, networks):
        await ask_often(states[0], path)
        await networks[0].cut(Path.SILENT)
        began = anyio.current_time()
        assert set(await ask_often(states[0], path)) == {200}
        assert anyio.current_time() - began < 2 * SILENCE_SECONDS + 2

    run()


# Guards against requests that keep arriving and hide that none is answered.
def test_steady_requests_of_a_cut_entry():
    async def run_slowly(upstream, request, stream):
        await anyio.sleep(0.05)
        return await complete_response()(upstream, request, stream)

    @in_cut_world(3, 1, run_slowly, run_slowly)
    async def run(world, states, networks):
        statuses = []

        async def ask_after(number, seconds):
            await anyio.sleep(seconds)
            answer = await ask(
                states[0], f'/any/{number}', attempt=f'a{number}'
            )
            statuses.append(answer.status)

        async def ask_all(gap):
            async with anyio.create_task_group() as tasks:
                for number in range(16):
                    tasks.start_soon(ask_after, number, number * gap)

        await ask_all(0)
        await networks[0].cut(Path.SILENT)
        began = anyio.current_time()
        await ask_all(0.1)
        assert set(statuses) == {200}
        assert anyio.current_time() - began < 16 * 0.1 + 1.5

    run()


# Guards against a request that may run once and is swallowed by such a one.
def test_stale_idle_connections_of_a_cut_entry():
    @in_cut_world(3, 1, complete_response(), complete_response())
    async def run(world, states, networks):
        await ask_often(states[0], '/once/')
        await networks[0].cut(Path.SILENT)
        await anyio.sleep(1.1)
        assert set(await ask_often(states[0], '/once/')) == {200}
        ran = [len(one.received_requests) for one in world.upstreams.values()]
        assert sum(ran) == 16

    run()


# Guards against a cut that outlives itself.
@pytest.mark.parametrize('cut', CUTS)
def test_entry_goes_back_to_direct_connections(cut):
    @in_cut_world(3, 1, complete_response(), complete_response())
    async def run(world, states, networks):
        def is_healed():
            return not states[0].reach.own.blocked

        for _ in '12':
            await networks[0].cut(cut)
            await ask_often(states[0], '/any/')
            await networks[0].cut(Path.OPEN)
            await wait_until(is_healed)
            before = sum(tunnels(row) for row in states)
            await ask_often(states[0], '/any/')
            assert sum(tunnels(row) for row in states) == before

    run()


# Guards against most entries of a data centre that find no peer.
def test_one_peer_is_left():
    @in_cut_world(4, 3, complete_response(), complete_response())
    async def run(world, states, networks):
        for network in networks:
            await network.cut(Path.REFUSES)
        for state in states:
            assert set(await ask_often(state, '/once/')) == {200}
        assert not any(row.loads.failed for row in states)

    run()


# Guards against verdicts of cut entries on upstreams, and against silence.
def test_all_entries_are_cut():
    @in_cut_world(3, 3, complete_response(), complete_response())
    async def run(world, states, networks):
        for network in networks:
            await network.cut(Path.REFUSES)
        began = anyio.current_time()
        for state in states:
            assert set(await ask_often(state, '/once/', 3)) == {503}
        assert anyio.current_time() - began < 9 * 0.5
        assert not any(row.loads.failed for row in states)
        assert not any(has_crashes(row) for row in states)
        for network in networks:
            await network.cut(Path.OPEN)
        await wait_until(
            lambda: not any(row.reach.own.blocked for row in states)
        )
        for state in states:
            assert set(await ask_often(state, '/once/', 3)) == {200}

    run()


# Guards against a crash that is read from a broken path.
@pytest.mark.parametrize('cut', [Path.RESETS, Path.SILENT])
def test_broken_paths_are_no_crashes(cut):
    @in_cut_world(3, 1, silent(), silent(), silent())
    async def run(world, states, networks):
        async def ask_once():
            await ask(states[0], '/any/7')

        def received(lifetime):
            return len(world.upstreams[lifetime].received_requests)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_once)
            await wait_until(lambda: sum(map(received, world.upstreams)) == 1)
            await networks[0].cut(cut)
            await wait_until(lambda: sum(map(received, world.upstreams)) >= 2)
            tasks.cancel_scope.cancel()
        assert not any(has_crashes(row) for row in states)
        assert not any(row.loads.failed for row in states)

    run()


# Guards against an upstream whose end no entry believes any more.
def test_an_ended_upstream_still_counts():
    @in_cut_world(3, 0, complete_response(), complete_response())
    async def run(world, states, networks):
        gone = next(iter(world.upstreams.values()))
        gone.process_scope.cancel()
        assert set(await ask_often(states[0], '/once/')) == {200}
        assert states[0].loads.failed[gone.lifetime]
        assert not states[0].reach.own.blocked

    run()


# Guards against work that goes on for a caller that has left.
def test_cancel_through_a_peer():
    @in_cut_world(2, 1, silent(), silent())
    async def run(world, states, networks):
        await networks[0].cut(Path.REFUSES)
        with anyio.move_on_after(0.4):
            await ask(states[0], '/once/7')
        abandoned = [one.abandoned_requests for one in world.upstreams.values()]
        with anyio.fail_after(0.5):
            while not any(abandoned):
                await anyio.sleep(0.01)

    run()


# Guards against a stream that stops in the middle with its path.
@pytest.mark.parametrize('cut', [Path.RESETS, Path.SILENT])
def test_stream_goes_on_through_a_peer(cut):
    async def send_slowly(upstream, request, stream):
        last = int(request.headers.get('last-event-id', '0'))
        head = encode_response(
            200, b'', {**upstream.response_headers(request), **EVENT_STREAM}
        )
        await stream.send(head.replace(b'content-length: 0\r\n', b''))
        for number in range(last + 1, 21):
            await stream.send(chunk(b'id: %d\ndata: x\n\n' % number))
            await anyio.sleep(0.03)
        await stream.send(b'0\r\n\r\n')
        return True

    @in_cut_world(3, 1, send_slowly, send_slowly)
    async def run(world, states, networks):
        async def cut_soon():
            await anyio.sleep(0.2)
            await networks[0].cut(cut)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cut_soon)
            answer = await ask(states[0], '/resume/7')
        assert answer.complete
        assert answer.body.count(b'id:') == 20
        assert not any(has_crashes(row) for row in states)

    run()


# Guards against peers that only a living home or store can name.
@pytest.mark.parametrize('number', [0, 1])
def test_cut_without_home_and_store(number):
    """The cut entry is the home (0) or another one."""

    @in_cut_world(3, 3, complete_response(), complete_response())
    async def run(world, states, networks):
        home = next(row for row in states if row.tenure)
        entry = states[(states.index(home) + number) % len(states)]
        world.store.error_status = 503
        home.tenure.resign()
        await networks[states.index(entry)].cut(Path.REFUSES)
        assert set(await ask_often(entry, '/once/')) == {200}

    run()


# Guards against a sound upstream that is given up for a second of silence.
def test_a_short_silence_is_no_cut():
    async def pause_in_the_middle(upstream, request, stream):
        head = encode_response(
            200, b'', {**upstream.response_headers(request), **EVENT_STREAM}
        )
        await stream.send(head.replace(b'content-length: 0\r\n', b''))
        await stream.send(chunk(b'id: 1\ndata: x\n\n'))
        await anyio.sleep(1.5)
        await stream.send(chunk(b'id: 2\ndata: x\n\n') + b'0\r\n\r\n')
        return True

    @in_cut_world(2, 0, pause_in_the_middle)
    async def run(world, states, networks):
        answer = await ask(states[0], '/stream/7')
        assert (answer.complete, answer.body.count(b'id:')) == (True, 2)
        assert not states[0].loads.failed
        assert not states[0].reach.own.blocked

    run()


def has_crashes(state):
    """Return whether a node counts any crash, also a suspected one."""
    report = state.crashes.report(state.timers.now())
    return bool(report.runs)


def tunnels(state):
    read = state.counters.registry.get_sample_value
    return read('spanfall_tunnels_total')
