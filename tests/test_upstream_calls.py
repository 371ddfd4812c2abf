"""Test what a response of an application proves."""

import anyio
import pytest
from anyio.lowlevel import checkpoint
from spanfall_api.frames import Submit
from spanfall_core.recovery import Failure
from spanfall_core.tables import ServiceKind
from spanfall_node.upstream_calls import UpstreamCalls
from spanfall_standins.gateway.server import start_server
from spanfall_standins.gateway.upstream import StandInUpstream, raw
from support import run_async

HEAD = b'HTTP/1.1 200 X\r\n'


# Guards against a body of unknown length that is handed on as complete, and
# against heads that no response may have.
@pytest.mark.parametrize(
    ('response', 'failure'),
    [
        (HEAD + b'content-length: 4\r\n\r\ndone', None),
        (HEAD + b'content-length: 5\r\n\r\ndone', Failure.BROKEN),
        (HEAD + b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n', None),
        (HEAD + b'\r\ndone', Failure.BROKEN),
        (b'HTTP/1.1 204 X\r\n\r\n', None),
        (b'HTTP/1.1 000 X\r\ncontent-length: 4\r\n\r\ndone', Failure.BROKEN),
        (HEAD + b'a b: 1\r\ncontent-length: 4\r\n\r\ndone', Failure.BROKEN),
        (HEAD + b'a\x01b: 1\r\ncontent-length: 4\r\n\r\ndone', Failure.BROKEN),
    ],
)
def test_application_response_ends(response, failure):
    async def take(pieces):
        await checkpoint()

    async def main():
        submit = Submit(
            request_id='r1',
            workspace='w',
            service='desk',
            service_kind=ServiceKind.APPLICATION,
            idempotent=True,
            life=1,
            attempt=1,
            method='GET',
            path='/jobs',
        )
        upstream = StandInUpstream('u-1', raw(response))
        async with anyio.create_task_group() as tasks:
            address = await start_server(tasks, upstream.answer)
            calls = UpstreamCalls(1)
            outcome = await calls.call_application(
                f'http://{address}', submit, 1, lambda *head: None, take
            )
            await calls.close()
            tasks.cancel_scope.cancel()
        assert outcome.failure is failure

    run_async(main)
