"""Test that the head of an answer is complete or the answer is broken.

An upstream, a peer, the store or the cloud may stop inside a head and close.
"""

import re
from dataclasses import dataclass
from itertools import cycle, product

import anyio
import pytest
from gateway_world import ask, in_world
from spanfall_node.gateway.net.connecting import connect
from spanfall_node.gateway.net.errors import (
    BrokenCallError,
    PeerUnavailableError,
)
from spanfall_node.gateway.net.pool import ConnectionPool, call_once
from spanfall_node.gateway.net.ports import HttpCall
from spanfall_node.gateway.net.tunnels import connect_through
from spanfall_standins.gateway.network import Network, Path
from spanfall_standins.gateway.raw_server import start_raw_server
from spanfall_standins.gateway.upstream import raw
from support import run_async, wait_until

_ATTEMPT = re.compile(rb'\r\nattempt: (\w+)')
START = b'HTTP/1.1 200 OK\r\nattempt: {id}\r\nsigned: s\r\n'
#: Whole heads; what follows them would be a body.
HEADS = {
    'length': START + b'content-length: 400\r\n\r\n',
    'length 0': START + b'content-length: 0\r\n\r\n',
    'no length': START + b'x-more: 1\r\n\r\n',
    'chunked': START + b'transfer-encoding: chunked\r\n\r\n',
    'events': START + b'content-type: text/event-stream\r\n\r\n',
    '204': START.replace(b'200 OK', b'204 X') + b'\r\n',
    'line feeds': START.replace(b'\r', b'') + b'content-length: 0\n\n',
    'interim': b'HTTP/1.1 103 X\r\nx: 1\r\n\r\n' + START + b'\r\n',
}
#: Parts of a head that are sent, of all its bytes.
PARTS = (0.05, 0.2, 0.35, 0.5, 0.65, 0.8, 0.95, 1)
ENDS = ('close', 'reset', 'half close', 'slowly')
PIECE = 7


@dataclass
class HalfHead:
    """Answer the last request on a connection with a part of a head."""

    head: bytes = b''
    end: str = ENDS[0]
    #: Whether the connection carries another request before.
    is_kept: bool = False

    async def run(self, conn):
        attempt = await read_attempt(conn)
        if self.is_kept:
            whole = HEADS['length 0'].replace(b'{id}', attempt)
            await conn.send(whole)
            attempt = await read_attempt(conn)
        sent = self.head.replace(b'{id}', attempt)
        size = PIECE if self.end == 'slowly' else max(1, len(sent))
        for start in range(0, len(sent), size):
            await conn.send(sent[start : start + size])
            await anyio.sleep(0.001 if self.end == 'slowly' else 0)
        if self.end == 'reset':
            conn.reset()
        elif self.end == 'half close':
            conn.close_sending()
            await conn.discard(1)


async def read_attempt(conn):
    found = _ATTEMPT.search(await conn.read_head())
    return found[1] if found else b''


def cut_heads(name):
    """Return parts of a head, each without its last byte at least."""
    head = HEADS[name]
    sizes = (min(int(len(head) * part), len(head) - 1) for part in PARTS)
    return [head[:size] for size in sizes]


# Guards against an answer that looks whole though its head was not.
@pytest.mark.parametrize('through_peer', [False, True])
@pytest.mark.parametrize('name', HEADS)
def test_half_head_is_no_answer(name, through_peer):
    @in_world
    async def play(world):
        upstream = await world.add_upstream(raw(b''))
        half = HalfHead()
        address = await start_raw_server(world.tasks, half.run)
        world.change_entry(upstream, address=address)
        network = Network()
        if through_peer:
            await world.add_gateway()
        state = await world.add_gateway(network)
        if through_peer:
            await wait_until(lambda: bool(state.reach.peers))
            await network.cut(Path.REFUSES)
        keeps = cycle([False] if through_peer else [False, True])
        courses = zip(cut_heads(name), cycle(ENDS), keeps, strict=False)
        for number, (head, end, is_kept) in enumerate(courses):
            half.head = head
            half.end = end
            half.is_kept = is_kept
            if is_kept:
                first = await ask(state, '/once/1', attempt=f'k{number}')
                assert first.status == 200
            body = b'x' * 100_000 if number % 3 == 2 else b''
            answer = await ask(
                state, '/once/2', attempt=f'a{number}', body=body
            )
            assert (answer.status, answer.complete) == (502, True)

    play()


# The same for calls to the store and the cloud, cut at each byte.
@pytest.mark.parametrize('name', HEADS)
def test_half_head_ends_a_call(name):
    async def main():
        head = HEADS[name]
        async with anyio.create_task_group() as tasks:
            for size, end in product(range(len(head)), ENDS[:3]):
                half = HalfHead(head[:size], end)
                address = await start_raw_server(tasks, half.run)
                pool = ConnectionPool(tasks, connect)
                with pytest.raises(BrokenCallError):
                    await call_once(pool, address, HttpCall('GET', '/'), 2)
            tasks.cancel_scope.cancel()

    run_async(main)


# The same for the answer of a peer to a tunnel.
@pytest.mark.parametrize('head', [b'HTTP/1.1 200 OK\r\n\r\n'])
def test_half_head_opens_no_tunnel(head):
    async def main():
        async with anyio.create_task_group() as tasks:
            for size, end in product(range(len(head)), ENDS[:3]):
                half = HalfHead(head[:size], end)
                address = await start_raw_server(tasks, half.run)
                with pytest.raises(PeerUnavailableError):
                    await connect_through(address, '127.0.0.1:9', 2)
            tasks.cancel_scope.cancel()

    run_async(main)
