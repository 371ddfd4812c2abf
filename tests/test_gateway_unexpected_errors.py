"""Test that a request that was read is answered whatever fails within.

The answer is true: 503 only if nothing was sent, 502 if it may have run.
"""

from dataclasses import dataclass

import pytest
from gateway_world import ask, dial, in_world, read_answer, request_bytes
from spanfall_node.gateway.callers import callers
from spanfall_node.gateway.net.client import Connection
from spanfall_node.gateway.net.connecting import connect
from spanfall_node.gateway.requests.caller_connection import CallerConnection
from spanfall_node.gateway.upstreams import relay
from spanfall_standins.gateway.upstream import complete_response, events

PATHS = ('/once/1', '/any/1', '/stream/1', '/resume/1')


class UnforeseenError(Exception):
    """Stand for an error that no code expects."""


def fail(*args, **fields):
    raise UnforeseenError


async def fail_later(*args, **fields):
    raise UnforeseenError


@dataclass
class FailingNetwork:
    """Fail to connect to one address in a way that nobody expects."""

    address: str = ''

    async def dial(self, address, timeout):
        if address == self.address:
            raise UnforeseenError
        return await connect(address, timeout)


def refused_with(answer, status, reason):
    """Return whether an answer is a complete refusal for a reason."""
    is_refusal = (answer.status, answer.complete) == (status, True)
    has_retry = ('retry-after' in answer.headers) is (status == 503)
    return is_refusal and has_retry and reason in answer.body


# Guards against a closed connection in place of an answer, where nothing was
# sent: the request goes to another upstream, or is refused as not run.
@pytest.mark.parametrize('others', [0, 1])
@pytest.mark.parametrize('path', PATHS)
def test_error_before_a_send(path, others):
    @in_world
    async def play(world):
        upstream = await world.add_upstream(complete_response())
        network = FailingNetwork(world.entries[upstream.lifetime]['address'])
        for _ in range(others):
            await world.add_upstream(complete_response())
        state = await world.add_gateway(network)
        for number in range(4):
            answer = await ask(state, path, attempt=f'a{number}')
            if others:
                assert (answer.status, answer.body) == (200, b'done')
            else:
                assert refused_with(answer, 503, b'no-upstream')
        now = state.timers.now()
        assert state.loads.failures_at(upstream.lifetime, now) > 0
        assert not upstream.received_requests

    play()


# The same where it was sent: it counts as broken, so only what may run twice
# goes to another upstream.
@pytest.mark.parametrize('path', PATHS)
def test_error_after_a_send(path, monkeypatch):
    @in_world
    async def play(world):
        upstreams = [
            await world.add_upstream(complete_response()) for _ in range(2)
        ]
        state = await world.add_gateway()
        real = Connection.read_head
        failing = {upstreams[0].lifetime}

        async def read_head(conn, is_matching):
            head = await real(conn, is_matching)
            if head.header(b'signed').decode().partition('.')[0] in failing:
                raise UnforeseenError
            return head

        monkeypatch.setattr(Connection, 'read_head', read_head)
        for number in range(8):
            answer = await ask(state, path, attempt=f'a{number}')
            if answer.status != 200:
                assert path in {'/once/1', '/stream/1'}
                assert refused_with(answer, 502, b'outcome-unknown')
        assert upstreams[0].received_requests
        seen = [
            request.headers['attempt']
            for upstream in upstreams
            for request in upstream.received_requests
        ]
        is_repeated = len(set(seen)) < len(seen)
        assert is_repeated is (path in {'/any/1', '/resume/1'})

    play()


FAILING_STEPS = {
    'body': (callers, 'read_request_body', fail_later, 503),
    'admission': (callers, 'admit', fail, 503),
    'choice': (relay, 'choose_or_wait', fail_later, 503),
    'after a send': (relay, 'check_origin', fail, 502),
    'disconnect': (CallerConnection, 'wait_for_disconnect', fail_later, 502),
}


# The same for the other steps between the end of the head and the answer.
@pytest.mark.parametrize('name', FAILING_STEPS)
@pytest.mark.parametrize('path', PATHS)
def test_error_in_any_other_step(path, name, monkeypatch):
    owner, step, failing, status = FAILING_STEPS[name]

    @in_world
    async def play(world):
        await world.add_upstream(complete_response(500))
        state = await world.add_gateway()
        monkeypatch.setattr(owner, step, failing)
        answer = await ask(state, path, body=b'x' * 9)
        assert refused_with(answer, status, b'internal-error')
        assert not state.open_requests

    play()


# Guards against a stream that looks complete after such an error.
def test_error_in_a_stream_that_has_begun(monkeypatch):
    @in_world
    async def play(world):
        await world.add_upstream(events(1, 9, pause=0.05))
        state = await world.add_gateway()
        async with await dial(state.cfg.listen.callers) as stream:
            await stream.send(request_bytes('/stream/1'))
            monkeypatch.setattr(Connection, 'read_chunk', fail_later)
            answer = await read_answer(stream)
        assert (answer.status, answer.complete) in {(200, False), (502, True)}

    play()
