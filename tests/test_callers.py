"""Check the caller interface against malformed, huge and slow input."""

import json
from collections.abc import Awaitable, Callable

import anyio
import httpx
import pytest
from spanfall_api.settings import Limits
from spanfall_node.held import split_pieces
from spanfall_node.link import BATCH_BYTES
from spanfall_node.node import Node
from spanfall_standins.fleet import Fleet, run_fleet
from support import (
    SMALL,
    Json,
    Seen,
    chat_body,
    new_client,
    quick_options,
    run_async,
    wait_until,
)

LIMITS = Limits(body_bytes=10_000, body_seconds=0.5, max_tokens=500)
CHAT = '/v1/chat/completions'
BAD_BODIES = (
    b'',
    b'{',
    b'[]',
    b'{"model": "writer"}',
    b'{"model": 3, "messages": []}',
    b'{"model": "writer", "messages": [{"role": "user"}], "max_tokens": 0}',
    b'{"model": "writer", "messages": [{"role": "user"}], "n": 2}',
    b'{"model": "writer", "messages": [{"role": "user"}], "max_tokens": 501}',
    b'\xff\xfe',
    b'[' * 9000,
)


def with_fleet(main: Callable[[Fleet, Node], Awaitable[None]]) -> None:
    """Run a test against one node of a small fleet with tight limits."""

    async def run() -> None:
        options = quick_options(reattach=0.1)
        options.limits = LIMITS
        async with run_fleet(SMALL, options) as fleet:
            await main(fleet, fleet.live_nodes()[0])

    run_async(run)


def problem_of(reply: httpx.Response) -> tuple[int, str, str]:
    """Return status, reason and run of a refusal."""
    assert reply.headers['content-type'] == 'application/problem+json'
    document: Json = reply.json()
    return reply.status_code, document['reason'], document['run']


def test_bad_bodies_are_typed_refusals() -> None:
    async def main(fleet: Fleet, node: Node) -> None:
        url = fleet.caller_url(node) + CHAT
        async with new_client('drivers') as client:
            for body in BAD_BODIES:
                reply = await client.post(url, content=body)
                found = problem_of(reply)
                assert found == (400, 'bad-request', 'not-run'), body[:60]
            huge = await client.post(url, content=b'x' * 10_001)
            assert problem_of(huge) == (413, 'body-too-large', 'not-run')
        assert not node.entry.relays

    with_fleet(main)


@pytest.mark.parametrize(
    ('headers', 'expected'),
    [
        ({'Authorization': ''}, (401, 'unauthenticated', 'not-run')),
        ({'Authorization': 'Bearer no'}, (401, 'unauthenticated', 'not-run')),
        ({'Spanfall-Priority': 'high'}, (400, 'bad-request', 'not-run')),
        ({'Spanfall-Priority': '101'}, (400, 'bad-request', 'not-run')),
        ({'Spanfall-Deadline-Ms': '0'}, (400, 'bad-request', 'not-run')),
    ],
)
def test_bad_headers_are_typed_refusals(
    headers: dict[str, str],
    expected: tuple[int, str, str],
) -> None:
    async def main(fleet: Fleet, node: Node) -> None:
        async with new_client('drivers') as client:
            reply = await client.post(
                fleet.caller_url(node) + CHAT,
                headers=headers,
                json=chat_body('x', 5),
            )
            assert problem_of(reply) == expected

    with_fleet(main)


def test_unknown_service_and_request() -> None:
    async def main(fleet: Fleet, node: Node) -> None:
        url = fleet.caller_url(node)
        body = {**chat_body('x', 5), 'model': 'nothing'}
        async with new_client('drivers') as client:
            chat = await client.post(url + CHAT, json=body)
            assert problem_of(chat) == (404, 'unknown-service', 'not-run')
            wrong = await client.post(f'{url}/services/writer/x')
            assert problem_of(wrong) == (404, 'unknown-service', 'not-run')
            for request_id in ('x', 'writer.north-1.cabc'):
                lost = await client.get(f'{url}/v1/requests/{request_id}')
                assert problem_of(lost)[:2] == (404, 'unknown-request')

    with_fleet(main)


def test_slow_body_times_out() -> None:
    async def slow() -> None:
        """Yield a body that never ends."""
        yield b'{'
        await anyio.sleep(5)

    async def main(fleet: Fleet, node: Node) -> None:
        async with new_client('drivers') as client:
            url = fleet.caller_url(node) + CHAT
            reply = await client.post(url, content=slow())
            assert problem_of(reply) == (408, 'body-timeout', 'not-run')

    with_fleet(main)


def test_disconnect_cancels_the_upstream() -> None:
    async def main(fleet: Fleet, node: Node) -> None:
        async with new_client('drivers') as client:
            url = fleet.caller_url(node) + CHAT
            body = chat_body('gone', 500)
            async with client.stream('POST', url, json=body) as reply:
                seen = Seen(reply.headers['spanfall-request-id'])
                await anext(reply.aiter_lines())
        engines = [
            row for row in fleet.workers.values() if hasattr(row, 'streams')
        ]
        await wait_until(lambda: not any(row.streams for row in engines))
        ended = [
            record.ended
            for row in engines
            for record in row.records
            if record.request_id == seen.request_id
        ]
        assert ended == ['cut']

    with_fleet(main)


def test_reattach_needs_the_same_workspace() -> None:
    async def main(fleet: Fleet, node: Node) -> None:
        url = fleet.caller_url(node)
        async with new_client('drivers') as client:
            body = chat_body('mine', 5, stream=False)
            reply = await client.post(url + CHAT, json=body)
            request_id = reply.headers['spanfall-request-id']
            path = f'{url}/v1/requests/{request_id}'
            mine = await client.get(path)
            assert mine.status_code == 200
            async with new_client('managers') as other:
                theirs = await other.get(path)
                assert problem_of(theirs)[:2] == (404, 'unknown-request')

    with_fleet(main)


@pytest.mark.parametrize('method', ['GET', 'PUT', 'DELETE', 'PATCH', 'POST'])
def test_application_gets_the_call_as_it_is(method: str) -> None:
    async def main(fleet: Fleet, node: Node) -> None:
        url = f'{fleet.caller_url(node)}/services/desk/jobs/7?full=1'
        async with new_client('drivers') as client:
            reply = await client.request(method, url, content=b'sheet')
            assert reply.status_code == 200
            echo = json.loads(reply.text)
            echo.pop('worker')
            assert echo == {
                'method': method,
                'path': '/jobs/7',
                'query': 'full=1',
                'body': 'sheet',
            }

    with_fleet(main)


def test_large_answers_are_passed_whole() -> None:
    async def main(fleet: Fleet, node: Node) -> None:
        size = 5_000_000
        url = f'{fleet.caller_url(node)}/services/desk/file?bytes={size}'
        async with new_client('drivers') as client:
            reply = await client.get(url)
            assert reply.content == b'x' * size

    with_fleet(main)


def test_parts_of_an_answer_fit_a_message() -> None:
    """A fast upstream was read whole before the link was flushed."""
    pieces = [bytes([number % 256]) * 65_536 for number in range(80)]
    groups = list(split_pieces(pieces))
    assert [piece for group in groups for piece in group] == pieces
    sizes = [sum(map(len, group)) for group in groups]
    assert max(sizes) < BATCH_BYTES + 65_536
    assert not list(split_pieces([]))
