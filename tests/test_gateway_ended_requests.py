"""Test that an ended request leaves nothing behind for the garbage collector.

The collector runs by the number of objects, not by their size: the bodies of
refused requests, and what was read of answers, would add up in between.
"""

import gc
from contextlib import contextmanager

import anyio
import pytest
from gateway_world import ask, dial, in_world, request_bytes
from spanfall_node.gateway.requests.admission import AdmittedRequest
from spanfall_standins.gateway.network import Network, Path
from spanfall_standins.gateway.upstream import (
    complete_response,
    raw,
    refused,
    silent,
)
from support import wait_until

#: Bodies that are sent at once, and while the answer is awaited.
SMALL, LARGE = b'x' * 1000, b'x' * 400_000
HEAD = b'HTTP/1.1 200 X\r\nattempt: {id}\r\nsigned: s\r\n'
EVENTS = HEAD + b'content-type: text/event-stream\r\n'

BEHAVIOURS = {
    'complete': complete_response(),
    'rejected': refused(),
    'failed': complete_response(500),
    'noise': raw(b'\x00\xff' * 100),
    'nothing': raw(b''),
    'reset': raw(HEAD, resets=True),
    'cut-body': raw(HEAD + b'content-length: 9\r\n\r\nbegun'),
    'large-event': raw(EVENTS + b'\r\n', b'x' * 1_500_000),
    'cut-stream': raw(EVENTS + b'\r\nid: 1\ndata: x\n\nid: 2'),
    'silent': silent(),
}


@contextmanager
def collector_stopped():
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def kept_requests():
    return sum(isinstance(kept, AdmittedRequest) for kept in gc.get_objects())


async def check_nothing_is_kept(state, path, body, attempts=3, name='a'):
    """Ask some times; ``name`` tells the attempts from others."""
    with collector_stopped():
        for number in range(attempts):
            await ask(state, path, attempt=f'{name}{number}', body=body)
        await wait_until(lambda: not state.open_requests)
        await anyio.sleep(0.1)
        assert not kept_requests(), name


# Guards against memory that ended requests hold until some later time.
@pytest.mark.parametrize(
    ('path', 'body'),
    [('/once/1', LARGE), ('/short/1', SMALL), ('/resume/1', SMALL)],
    ids=['large', 'short', 'resumable'],
)
def test_nothing_is_kept_of_an_ended_request(path, body):
    @in_world
    async def play(world):
        upstream = await world.add_upstream(complete_response())
        state = await world.add_gateway()
        for name, behaviour in BEHAVIOURS.items():
            upstream.behaviour = behaviour
            await check_nothing_is_kept(state, path, body, 1, name)

    play()


# The same where no upstream can be reached, by this node or by a peer.
@pytest.mark.parametrize('path', [Path.REFUSES, Path.SILENT])
@pytest.mark.parametrize('peers', [0, 1])
def test_nothing_is_kept_without_a_path(path, peers):
    @in_world
    async def play(world):
        for _ in '12':
            await world.add_upstream(complete_response())
        networks = [Network() for _ in range(peers + 1)]
        states = [await world.add_gateway(network) for network in networks]
        state = states[-1]
        if peers:
            await wait_until(lambda: bool(state.reach.peers))
        for network in networks:
            await network.cut(path)
        await check_nothing_is_kept(state, '/any/1', SMALL)

    play()


# The same where a peer finds that nobody listens at an upstream's address.
@in_world
async def test_nothing_is_kept_of_what_a_peer_found(world):
    ended = await world.add_upstream(complete_response())
    await world.add_upstream(complete_response())
    await world.add_gateway()
    network = Network()
    state = await world.add_gateway(network)
    await wait_until(lambda: bool(state.reach.peers))
    await network.cut(Path.REFUSES)
    ended.process_scope.cancel()
    await check_nothing_is_kept(state, '/any/1', SMALL)


# The same of a caller that leaves.
@in_world
async def test_nothing_is_kept_of_a_caller_that_left(world):
    upstream = await world.add_upstream(silent())
    state = await world.add_gateway()
    with collector_stopped():
        async with await dial(state.cfg.listen.callers) as stream:
            await stream.send(request_bytes('/any/1', body=LARGE))
            await wait_until(lambda: bool(upstream.received_requests))
        await wait_until(lambda: not state.open_requests)
        await anyio.sleep(0.1)
        assert not kept_requests()
