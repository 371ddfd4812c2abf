"""Hold the head of a response."""

from dataclasses import dataclass

from spanfall_node.gateway.net.ports import Headers


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
