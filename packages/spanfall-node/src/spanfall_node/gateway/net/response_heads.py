"""Hold the head of a response, and check what its parser lets pass."""

import re
from dataclasses import dataclass

import h11

from spanfall_node.gateway.net.ports import Headers

#: Control bytes that no value of a field holds (RFC 9110, section 5.5).
_CONTROL_BYTE = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Hold the status and headers of a response."""

    status: int
    reason: bytes
    headers: Headers

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header by its lower-case name, or b''."""
        return next((text for key, text in self.headers if key == name), b'')

    @property
    def is_success(self) -> bool:
        """Return whether the server states that it served the request."""
        return self.status < 300

    @property
    def stated_length(self) -> int:
        """Return the stated length of the body in bytes, or 0."""
        return int(self.header(b'content-length') or 0)


def check_head(event: object) -> None:
    """Check the values of the fields, if an event is a response.

    h11 lets most control bytes pass there; other parsers refuse the response.

    Raises:
        h11.RemoteProtocolError: a value holds a control byte.
    """
    if not isinstance(event, h11.Response):
        return
    for name, text in event.headers:
        found = _CONTROL_BYTE.search(text)
        if found:
            raise h11.RemoteProtocolError(
                f'control byte 0x{found[0].hex()} in the field '
                f'{name.decode()!r} of a response {event.status_code}'
            )
