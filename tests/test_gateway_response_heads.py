"""Test heads that no response may have: they reach no caller.

They are played at a gateway, and at the client that also reads the answers of
the store, the cloud and peers.
"""

from itertools import repeat

import anyio
import pytest
from gateway_world import ask, in_world
from spanfall_node.gateway.net.errors import BrokenCallError
from spanfall_node.gateway.net.pool import ConnectionPool, call_once
from spanfall_node.gateway.net.ports import HttpCall
from spanfall_standins.gateway.raw_server import start_raw_server
from spanfall_standins.gateway.upstream import complete_response, raw
from support import run_async

FIELDS = b'attempt: {id}\r\nsigned: s\r\ncontent-length: 2\r\n'
#: Seconds of a call that should not take long.
CALL_SECONDS = 5.0

STATUS_LINES = [
    b'HTTP/1.1 000 X',
    b'HTTP/1.1 000',
    b'HTTP/1.1 001 X',
    b'HTTP/1.1 099 X',
    b'HTTP/1.1 2000 X',
    b'HTTP/1.1 20 X',
    b'HTTP/1.1 2 X',
    b'HTTP/1.1 +200 X',
    b'HTTP/1.1 -200 X',
    b'HTTP/1.1 2x0 X',
    b'HTTP/1.1 0x200 X',
    b'HTTP/1.1 2 00 X',
    b'HTTP/1.1  200 X',
    b'HTTP/1.1 X',
    b'HTTP/1.1',
    b'HTTP/x 200 X',
    b'HTTP/1.1\t200\tX',
    b' HTTP/1.1 200 X',
    b'ICY 200 X',
    b'200 X',
    b'',
]

#: Lines of a head with something in a name that no name may hold.
NAME_LINES = [
    b'bad name: 1',
    b'bad : 1',
    b'bad\t: 1',
    b'\tbad: 1',
    b'bad\tname: 1',
    *[b'bad%cname: 1' % code for code in (0, 1, 7, 8, 11, 12, 13, 27, 31, 127)],
    b'bad\x80name: 1',
    b'bad\xffname: 1',
    b'bad(name): 1',
    b'bad"name: 1',
    b'bad@name: 1',
    b': 1',
    b'no colon',
]


#: Lines of a head with something in a value that no value may hold.
VALUE_LINES = [
    b'odd: a%cb' % code for code in (*range(9), 11, 12, 13, *range(14, 32), 127)
]


def head_with(line):
    """Return a response with one more line in its head."""
    return b'HTTP/1.1 200 X\r\n' + line + b'\r\n' + FIELDS + b'\r\nok'


#: Heads whose length or coding of the body is none.
FRAMINGS = [
    head_with(b'content-length: 3'),
    head_with(b'content-length: -2'),
    head_with(b'content-length: +2'),
    head_with(b'content-length: 2 2'),
    head_with(b'content-length: 0x2'),
    head_with(b'transfer-encoding: gzip'),
    head_with(b'transfer-encoding: chunked, chunked'),
]

STATUS_HEADS = [line + b'\r\n' + FIELDS + b'\r\nok' for line in STATUS_LINES]
NAME_HEADS = [head_with(line) for line in NAME_LINES]
VALUE_HEADS = [head_with(line) for line in VALUE_LINES]
HEADS = [*STATUS_HEADS, *NAME_HEADS, *VALUE_HEADS, *FRAMINGS]


# Guards against a head that is relayed though no response may have it.
@pytest.mark.parametrize('path', ['/once/1', '/any/1', '/stream/1'])
@pytest.mark.parametrize('head', HEADS)
def test_odd_head_reaches_no_caller(head, path):
    @in_world
    async def play(world):
        await world.add_upstream(raw(head))
        state = await world.add_gateway()
        answer = await ask(state, path)
        assert (answer.status, answer.complete) == (502, True)
        assert 'signed' not in answer.headers

    play()


# Guards against a request that ends with such a head though it may run again.
@pytest.mark.parametrize(
    'head', [STATUS_HEADS[0], NAME_HEADS[0], VALUE_HEADS[1]]
)
def test_sound_upstream_beside_odd_heads(head):
    @in_world
    async def play(world):
        await world.add_upstream(raw(head))
        await world.add_upstream(complete_response())
        state = await world.add_gateway(retry_allowance=100)
        answers = [
            await ask(state, f'/any/{number}', attempt=f'a{number}')
            for number in range(20)
        ]
        assert [row.status for row in answers] == list(repeat(200, 20))
        assert {row.body for row in answers} == {b'done'}

    play()


# Guards against such a head in an answer of the store, the cloud or a peer.
def test_odd_head_answers_no_call():
    async def call(head):
        async def respond(conn):
            await conn.read_head()
            await conn.send(head)

        async with anyio.create_task_group() as tasks:
            address = await start_raw_server(tasks, respond)
            pool = ConnectionPool(tasks)
            call_of_store = HttpCall('GET', '/')
            with pytest.raises(BrokenCallError):
                await call_once(pool, address, call_of_store, CALL_SECONDS)
            tasks.cancel_scope.cancel()

    async def main():
        for head in HEADS:
            await call(head)

    run_async(main)


# Guards against a check that refuses what a value may hold.
@in_world
async def test_tabs_and_high_bytes_are_passed_on(world):
    await world.add_upstream(raw(head_with(b'odd: a\tb\xc3\xa9')))
    state = await world.add_gateway()
    answer = await ask(state, '/once/1')
    assert (answer.status, answer.headers['odd']) == (200, 'a\tb\xe9')
