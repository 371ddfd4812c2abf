"""Tunnels of peers: what a node carries, refuses and survives."""

import socket
import struct

import anyio
from anyio.abc import SocketAttribute
from cut_world import in_cut_world
from gateway_world import ask, dial, in_world
from spanfall_standins.gateway.network import Network, Path
from spanfall_standins.gateway.upstream import complete_response, raw, silent
from support import wait_until


# Guards against a peer that resets its tunnel and so ends the whole node.
@in_world
async def test_node_survives_a_reset_tunnel(world):
    await world.add_upstream(complete_response())
    state = await world.add_gateway()
    target = next(iter(state.directory.rows.values())).address
    call = f'CONNECT {target} HTTP/1.1\r\nhost: {target}\r\n\r\n'.encode()
    for _ in range(20):
        stream = await dial(state.cfg.listen.tunnels)
        await stream.send(call)
        sock = stream.extra(SocketAttribute.raw_socket)
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await anyio.aclose_forcefully(stream)
    await anyio.sleep(0.2)
    assert (await ask(state, '/any/7')).status == 200
    assert not state.open_requests


# Guards against an entry without peers that fails over a silent path.
def test_silent_path_without_peers(caplog):
    @in_world
    async def run(world):
        await world.add_upstream(silent())
        network = Network()
        state = await world.add_gateway(network)

        async def ask_once():
            await ask(state, '/any/7')

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_once)
            await wait_until(lambda: bool(state.loads.running))
            await network.cut(Path.SILENT)
            await anyio.sleep(1.6)
            tasks.cancel_scope.cancel()

    run()
    assert 'A component failed' not in caplog.text


# Guards against failures of distant upstreams that count for nothing, since a
# peer connects to them before this node does.
def test_failures_of_distant_upstreams_count():
    @in_cut_world(3, 1, raw(b'no answer'))
    async def run(world, states, networks):
        networks[0].delay = 0.06
        for number in range(3):
            await ask(states[0], f'/once/{number}', attempt=f'a{number}')
        assert sum(states[0].loads.failed.values()) == 3
        assert not states[0].reach.own.blocked
        read = states[0].counters.registry.get_sample_value
        assert not read('spanfall_upstream_paths_total', {'reason': 'peer'})

    run()


# Guards against requests that are broken on connections that still work.
def test_slow_responses_on_living_connections():
    async def respond_late(upstream, request, stream):
        await anyio.sleep(1.2)
        return await complete_response()(upstream, request, stream)

    @in_cut_world(3, 1, respond_late, respond_late)
    async def run(world, states, networks):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, states[0], '/any/7')
            await wait_until(lambda: bool(states[0].loads.running))
            await anyio.sleep(0.05)
            await networks[0].cut(Path.REFUSES)
        sent = [one.received_requests for one in world.upstreams.values()]
        assert sum(map(len, sent)) == 1

    run()
