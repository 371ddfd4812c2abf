"""Tell how the body of a response ended, and whether that proves it complete.

A body that has neither a length nor chunks ends with its connection (RFC 9112,
section 6.3): its last byte looks the same whether the server was done or its
process ended.
"""

from enum import StrEnum, unique

from spanfall_node.gateway.net.ports import Headers


@unique
class BodyFraming(StrEnum):
    """Name what delimits the body of a response."""

    #: Responses to HEAD, 204 and 304 have no body.
    NO_BODY = 'no-body'
    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'


@unique
class BodyEnd(StrEnum):
    """Name how the body of a response ended."""

    NO_BODY = 'no-body'
    LENGTH = 'length'
    LAST_CHUNK = 'last-chunk'
    #: The last event of the stream says that it is the last.
    FINAL_EVENT = 'final-event'
    #: The server closed the connection, which delimits the body.
    CLOSED = 'closed'
    #: The server closed the connection inside an event, or before any.
    INSIDE_EVENT = 'inside-event'
    #: The server closed the connection, and had not taken the whole request
    #: when its response began, or has reset the connection since.
    REQUEST_NOT_TAKEN = 'request-not-taken'
    #: The server closed the connection and accepts no other.
    SERVER_GONE = 'server-gone'
    #: The server closed the connection, but the caller was promised chunks.
    UNPROVEN = 'unproven'
    #: The server closed the connection before the length or the last chunk.
    TRUNCATED = 'truncated'
    #: The connection was reset or timed out.
    RESET = 'reset'
    #: The bytes were no valid body.
    INVALID = 'invalid'


#: Ends that prove that the body is complete.
PROVEN_ENDS = frozenset(
    (
        BodyEnd.NO_BODY,
        BodyEnd.LENGTH,
        BodyEnd.LAST_CHUNK,
        BodyEnd.FINAL_EVENT,
    ),
)

#: How a body ends that reached the end of its framing.
FRAMING_ENDS = {
    BodyFraming.NO_BODY: BodyEnd.NO_BODY,
    BodyFraming.LENGTH: BodyEnd.LENGTH,
    BodyFraming.CHUNKS: BodyEnd.LAST_CHUNK,
    BodyFraming.CONNECTION: BodyEnd.CLOSED,
}


def body_framing(method: bytes, status: int, headers: Headers) -> BodyFraming:
    """Return what delimits the body of a valid response to a request."""
    if method == b'HEAD' or status in {204, 304}:
        return BodyFraming.NO_BODY
    names = {name for name, _ in headers}
    if b'transfer-encoding' in names:
        return BodyFraming.CHUNKS
    if b'content-length' in names:
        return BodyFraming.LENGTH
    return BodyFraming.CONNECTION
