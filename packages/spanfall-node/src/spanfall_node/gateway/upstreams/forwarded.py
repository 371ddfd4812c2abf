"""Build the request for an upstream and the headers of its response."""

from spanfall_node.gateway.net.ports import HeaderNames, Headers, HttpCall
from spanfall_node.gateway.net.response_heads import ResponseHead
from spanfall_node.gateway.requests.admission import AdmittedRequest

#: Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
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
#: Number of the lowest priority that engines distinguish.
LOWEST_PRIORITY = 9
#: Milliseconds subtracted from the remaining time, for the response to return.
RETURN_MARGIN_MS = 5


def upstream_call(
    names: HeaderNames,
    admitted: AdmittedRequest,
    upstream_id: str,
    last_event_id: bytes,
    seconds_left: float,
) -> HttpCall:
    """Return the request to an upstream, with ``seconds_left`` to run."""
    dropped = (
        HOP_BY_HOP_HEADERS | names.set_by_nodes | _connection_options(admitted)
    )
    headers = [
        (name, text)
        for name, text in admitted.req.headers
        if name not in dropped and not _is_key(name, text, names)
    ]
    left_ms = max(1, int(seconds_left * 1000) - RETURN_MARGIN_MS)
    headers.append((names.deadline_ms, b'%d' % left_ms))
    headers.append((names.expected_lifetime, upstream_id.encode()))
    if admitted.workspace is not None:
        headers = _without_key(headers)
        headers.append((names.workspace, admitted.workspace.name.encode()))
    if admitted.prompt_tokens:
        headers.append(
            (names.engine_priority, b'%d' % _engine_priority(admitted))
        )
    if last_event_id:
        headers = [row for row in headers if row[0] != names.last_event_id]
        headers.append((names.last_event_id, last_event_id))
    return HttpCall(
        admitted.req.method, admitted.req.target, headers, admitted.body
    )


def is_event_stream(head: ResponseHead) -> bool:
    """Tell whether a response is an event stream."""
    return head.header(b'content-type').startswith(b'text/event-stream')


def response_headers(
    head: ResponseHead,
    size: int | None,
    method: str,
) -> Headers:
    """Return the headers of an upstream's response for the caller.

    ``size`` is the length of a buffered body; it is None for a stream, which
    is sent in chunks.
    """
    headers = [
        (name, text)
        for name, text in head.headers
        if name not in HOP_BY_HOP_HEADERS
    ]
    if method == 'HEAD' or head.status in {204, 304}:
        return headers
    if size is not None:
        headers.append((b'content-length', b'%d' % size))
    return headers


def _connection_options(admitted: AdmittedRequest) -> set[bytes]:
    options = admitted.req.header(b'connection').split(',')
    return {name.strip().lower().encode('latin-1') for name in options}


def _is_key(name: bytes, text: bytes, names: HeaderNames) -> bool:
    """Return whether a header holds a key, which no upstream is shown."""
    scheme = text.partition(b' ')[0].lower()
    return name == b'authorization' and scheme == names.key_scheme.lower()


def _without_key(headers: Headers) -> Headers:
    return [row for row in headers if row[0] != b'authorization']


def _engine_priority(admitted: AdmittedRequest) -> int:
    priority = admitted.route.priority
    if (
        admitted.workspace is not None
        and admitted.workspace.priority is not None
    ):
        priority = admitted.workspace.priority
    return max(0, min(LOWEST_PRIORITY, priority))
