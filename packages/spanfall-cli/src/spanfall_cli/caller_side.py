"""Make the requests of a trace, and note what their callers see."""

import json
import time
from typing import Any

import httpx
from spanfall_standins.deployments import token_of

from spanfall_cli.promises import ANSWERED, LOST, REFUSED, Outcome
from spanfall_cli.traces import RequestLine

_ERROR = 400


def headers_of(line: RequestLine) -> dict[str, str]:
    """Return the headers of a request."""
    headers = {
        'Authorization': f'Bearer {token_of(line.workspace)}',
        'Spanfall-Priority': str(line.priority),
    }
    if line.deadline_ms is not None:
        headers['Spanfall-Deadline-Ms'] = str(line.deadline_ms)
    return headers


def chat_body(line: RequestLine) -> dict[str, Any]:
    """Return the body of a model request."""
    return {
        'model': line.service,
        'stream': True,
        'max_tokens': line.tokens,
        'messages': [{'role': 'user', 'content': line.prompt()}],
    }


def note_reply(row: Outcome, reply: httpx.Response) -> None:
    """Note request id and time of the first part."""
    request_id = reply.headers.get('spanfall-request-id')
    if request_id:
        row.request_ids.add(request_id)
    if row.first_part is None:
        row.first_part = time.monotonic() - row.started


def note_refusal(row: Outcome, content: bytes) -> None:
    """Note reason and run of a problem document."""
    row.state = REFUSED
    try:
        problem = json.loads(content)
    except ValueError:
        row.state = LOST
        row.detail = content.decode(errors='replace')
        return
    row.reason = problem.get('reason', '')
    row.run = problem.get('run', '')
    row.detail = row.reason


async def read_events(reply: httpx.Response, row: Outcome) -> bool:
    """Read a stream to its end; return whether the request is over."""
    if reply.status_code >= _ERROR:
        note_refusal(row, await reply.aread())
        return True
    note_reply(row, reply)
    async for text in reply.aiter_lines():
        content = text.removeprefix('data: ')
        if content == '[DONE]':
            row.state = ANSWERED
            return True
        if content == 'event: resume':
            return False
        if text.startswith('data: ') and take_chunk(row, content):
            return True
    return False


def take_chunk(row: Outcome, content: str) -> bool:
    """Take one event; return whether it ended the request."""
    chunk = json.loads(content)
    problem = chunk.get('error')
    if problem:
        note_refusal(row, json.dumps(problem).encode())
        return True
    for choice in chunk.get('choices', []):
        row.text += choice['delta'].get('content', '')
    return False


def is_final(row: Outcome, exc: httpx.HTTPError) -> bool:
    """Tell whether a caller gives up after a broken connection.

    A call that may run once and has no key is not sent again, unless the
    connection was never made.
    """
    if isinstance(exc, httpx.ConnectError) or row.line.idempotent:
        return False
    if row.line.key:
        return False
    row.state = LOST
    return True
