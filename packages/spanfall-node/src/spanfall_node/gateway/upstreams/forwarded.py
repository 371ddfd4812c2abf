"""Build what goes to an upstream and what goes back to the caller."""

from spanfall_node.gateway.net.client import ResponseHead
from spanfall_node.gateway.net.ports import HeaderNames, Headers, HttpCall
from spanfall_node.gateway.requests.admission import Work

#: Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        b'content-length',
    ),
)
#: Lowest rank that engines tell apart.
LAST_PRIORITY = 9
#: Milliseconds less than what is left, for the way back.
WAY_BACK_MS = 5


def upstream_call(
    names: HeaderNames,
    work: Work,
    upstream_id: str,
    last_event_id: bytes,
    left: float,
) -> HttpCall:
    """Return the request as an upstream gets it, ``left`` seconds to run."""
    dropped = HOP_HEADERS | names.set_by_nodes | _named_hops(work)
    headers = [
        (name, text) for name, text in work.req.headers if name not in dropped
    ]
    left_ms = max(1, int(left * 1000) - WAY_BACK_MS)
    headers.append((names.deadline_ms, b'%d' % left_ms))
    headers.append((names.expected_lifetime, upstream_id.encode()))
    if work.workspace is not None:
        headers = _without_key(headers)
        headers.append((names.workspace, work.workspace.name.encode()))
    if work.prompt_tokens:
        headers.append((names.engine_priority, b'%d' % _rank(work)))
    if last_event_id:
        headers = [row for row in headers if row[0] != names.last_event_id]
        headers.append((names.last_event_id, last_event_id))
    return HttpCall(work.req.method, work.req.target, headers, work.body)


def is_event_stream(head: ResponseHead) -> bool:
    """Tell whether an answer is a series of events."""
    return head.header(b'content-type').startswith(b'text/event-stream')


def answer_headers(
    head: ResponseHead,
    size: int | None,
    method: str,
) -> Headers:
    """Return an upstream's headers for the caller.

    ``size`` is the length of a body that was read whole; a stream has none
    and is sent in chunks.
    """
    headers = [
        (name, text) for name, text in head.headers if name not in HOP_HEADERS
    ]
    if method == 'HEAD' or head.status in {204, 304}:
        return headers
    if size is not None:
        headers.append((b'content-length', b'%d' % size))
    return headers


def _named_hops(work: Work) -> set[bytes]:
    named = work.req.header(b'connection').split(',')
    return {name.strip().lower().encode('latin-1') for name in named}


def _without_key(headers: Headers) -> Headers:
    return [row for row in headers if row[0] != b'authorization']


def _rank(work: Work) -> int:
    rank = work.route.priority
    if work.workspace is not None and work.workspace.priority is not None:
        rank = work.workspace.priority
    return max(0, min(LAST_PRIORITY, rank))
