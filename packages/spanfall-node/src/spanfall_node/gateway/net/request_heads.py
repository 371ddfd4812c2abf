"""Build the heads of requests that this node sends."""

import h11

from spanfall_node.gateway.net.errors import NotSentError
from spanfall_node.gateway.net.ports import HttpCall


def framed_request(call: HttpCall, host: str) -> h11.Request:
    """Return the request of a call, with the length of its body.

    Raises:
        NotSentError: HTTP cannot express the request.
    """
    headers = call.framed_headers(host)
    try:
        return h11.Request(
            method=call.method, target=call.target, headers=headers
        )
    except (h11.LocalProtocolError, UnicodeError) as exc:
        raise NotSentError(f'not a valid request: {exc}') from exc
