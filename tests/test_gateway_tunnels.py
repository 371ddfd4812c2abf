"""Tunnels of peers: what a node carries, refuses and survives."""

import socket
import struct

import anyio
from anyio.abc import SocketAttribute
from gateway_world import ask, dial, in_world
from spanfall_standins.gateway.upstream import complete_response


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
