"""Call a gateway as its callers do and read its raw responses."""

from dataclasses import dataclass

import anyio
import h11
from anyio.abc import SocketStream
from spanfall_node.gateway.tables.state import GatewayState

HOST = 'depot.example'


@dataclass(slots=True)
class Answer:
    """Hold the response that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes
    #: Whether the response is complete by the rules of HTTP.
    complete: bool

    @property
    def is_proven(self) -> bool:
        """Return whether its framing proves that it is complete."""
        delimiters = {'content-length', 'transfer-encoding'}
        return self.complete and not delimiters.isdisjoint(self.headers)

    def accept_event(self, event: object) -> bool:
        """Process an event; return whether more events are expected."""
        if isinstance(event, h11.Response):
            self.status = event.status_code
            self.headers = {
                name.decode(): text.decode() for name, text in event.headers
            }
            return True
        if isinstance(event, h11.Data):
            self.body += bytes(event.data)
            return True
        self.complete = isinstance(event, h11.EndOfMessage)
        return False


async def dial(address: str) -> SocketStream:
    """Open a connection to an address."""
    host, _, port = address.rpartition(':')
    return await anyio.connect_tcp(host, int(port))


def request_bytes(
    path: str,
    attempt: str = 'a1',
    body: bytes = b'',
    **headers: str,
) -> bytes:
    """Return the encoded bytes of a request."""
    method = 'POST' if body else 'GET'
    rows = {'host': HOST, 'attempt': attempt}
    rows.update({key.replace('_', '-'): text for key, text in headers.items()})
    if body:
        rows['content-length'] = str(len(body))
    lines = ''.join(f'{name}: {text}\r\n' for name, text in rows.items())
    return f'{method} {path} HTTP/1.1\r\n{lines}\r\n'.encode() + body


async def read_answer(stream: SocketStream) -> Answer:
    """Read one response from a stream."""
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(
        h11.Request(method='GET', target='/', headers=[('host', 'x')])
    )
    protocol.send(h11.EndOfMessage())
    answer = Answer(0, {}, b'', complete=False)
    while True:
        try:
            event = protocol.next_event()
        except h11.RemoteProtocolError:
            return answer
        if event is h11.NEED_DATA:
            received = await _receive(stream)
            if received is None:
                return answer
            protocol.receive_data(received)
        elif not answer.accept_event(event):
            return answer


async def _receive(stream: SocketStream) -> bytes | None:
    """Return received bytes, b'' at the end, or None after a reset."""
    try:
        return await stream.receive()
    except anyio.EndOfStream:
        return b''
    except anyio.BrokenResourceError:
        return None


async def ask(state: GatewayState, path: str, **fields: object) -> Answer:
    """Send one request over a new connection and return its response."""
    stream = await dial(state.cfg.listen.callers)
    async with stream:
        await stream.send(request_bytes(path, **fields))
        return await read_answer(stream)
