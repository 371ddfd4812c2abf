"""Render answers for callers: event streams, completions, problems."""

import json
from collections.abc import AsyncIterator, Callable

from spanfall_api.completions import CHAT_PATH
from spanfall_api.frames import End, Refused
from spanfall_api.problems import (
    PROBLEM_TYPE,
    RefusedError,
    build_problem,
)
from starlette.responses import JSONResponse, Response

from spanfall_node.answers import Answer

#: Header that names a request to its caller.
REQUEST_ID_HEADER = 'Spanfall-Request-Id'
_DONE = b'data: [DONE]\n\n'

NoteRead = Callable[[int], None]


def refusal_of(outcome: Refused) -> RefusedError:
    """Return the error form of a refusal frame."""
    return RefusedError(
        outcome.reason,
        outcome.detail,
        outcome.run,
        outcome.retry_after,
    )


def render_problem(exc: RefusedError, request_id: str = '') -> Response:
    """Return the problem document of a refusal."""
    problem = build_problem(exc, request_id)
    headers = {REQUEST_ID_HEADER: request_id} if request_id else {}
    if exc.retry_after is not None:
        headers['Retry-After'] = str(max(1, round(exc.retry_after)))
    return JSONResponse(
        problem.model_dump(mode='json'),
        status_code=problem.status,
        headers=headers,
        media_type=PROBLEM_TYPE,
    )


def chunk_event(path: str, envelope: str, offset: int, piece: bytes) -> bytes:
    """Return one token as a server-sent event with its offset as id."""
    text = json.dumps(piece.decode())
    if path == CHAT_PATH:
        choice = f'{{"index":0,"delta":{{"content":{text}}}'
    else:
        choice = f'{{"index":0,"text":{text}'
    return (
        f'id: {offset}\ndata: {{{envelope},"choices":'
        f'[{choice},"finish_reason":null}}]}}\n\n'
    ).encode()


def end_event(path: str, envelope: str, outcome: End) -> bytes:
    """Return the last events of a whole stream."""
    reason = json.dumps(outcome.finish_reason)
    content = '"delta":{}' if path == CHAT_PATH else '"text":""'
    return (
        f'id: {outcome.offset}\ndata: {{{envelope},"choices":'
        f'[{{"index":0,{content},"finish_reason":{reason}}}]}}\n\n'
    ).encode() + _DONE


def make_envelope(path: str, request_id: str, model: str, now: int) -> str:
    """Return the members that all events of a stream share."""
    is_chat = path == CHAT_PATH
    kind = 'chat.completion.chunk' if is_chat else 'text_completion'
    members = {
        'id': request_id,
        'object': kind,
        'created': now,
        'model': model,
    }
    return json.dumps(members)[1:-1]


async def stream_events(
    answer: Answer,
    path: str,
    envelope: str,
    offset: int,
    note_read: NoteRead,
) -> AsyncIterator[bytes]:
    """Yield an answer as server-sent events, from an offset on."""
    while True:
        await answer.wait_beyond(offset)
        pieces = answer.read(offset)
        if pieces:
            yield b''.join(
                chunk_event(path, envelope, number, piece)
                for number, piece in enumerate(pieces, offset + 1)
            )
            offset += len(pieces)
            note_read(offset)
        elif isinstance(answer.outcome, End):
            yield end_event(path, envelope, answer.outcome)
            return
        elif answer.outcome is not None:
            yield error_event(answer.outcome)
            return


def error_event(outcome: Refused) -> bytes:
    """Return a refusal as an event, for a stream that has begun."""
    problem = build_problem(refusal_of(outcome), outcome.request_id)
    content = json.dumps({'error': problem.model_dump(mode='json')})
    return f'data: {content}\n\n'.encode()


def resume_event(request_id: str, offset: int) -> bytes:
    """Return the hint where to go on, for a stream that ends early."""
    hint = {'request_id': request_id, 'last_event_id': str(offset)}
    return f'event: resume\ndata: {json.dumps(hint)}\n\n'.encode()


def whole_completion(
    answer: Answer,
    path: str,
    envelope: str,
    prompt_tokens: int,
) -> bytes:
    """Return a whole answer as one completion document."""
    text = b''.join(answer.pieces).decode()
    finish = getattr(answer.outcome, 'finish_reason', 'stop')
    choice: dict[str, object] = {'index': 0, 'finish_reason': finish}
    if path == CHAT_PATH:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    usage = {
        'prompt_tokens': prompt_tokens,
        'completion_tokens': answer.offset,
        'total_tokens': prompt_tokens + answer.offset,
    }
    document = json.loads(f'{{{envelope}}}')
    document['object'] = document['object'].replace('.chunk', '')
    document['choices'] = [choice]
    document['usage'] = usage
    return json.dumps(document).encode()
