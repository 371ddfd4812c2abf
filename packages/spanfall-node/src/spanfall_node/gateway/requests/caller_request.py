"""Hold the head of a caller's request."""

from dataclasses import dataclass, field
from urllib.parse import unquote_to_bytes

from spanfall_node.gateway.net.ports import Headers

#: Fields of a head up to which it costs no more than is granted to each
#: connection, in processor time and in memory.
PLAIN_FIELDS = 64
#: Bytes of memory of a field, beside those of its name and value.
FIELD_BYTES = 256


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold the head of a request."""

    method: str
    target: str
    headers: Headers
    #: First value of each header, by its name in lower case.
    _first: dict[bytes, bytes] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Index the headers."""
        object.__setattr__(self, '_first', dict(reversed(self.headers)))

    def header(self, name: bytes) -> str:
        """Return the first value of a header given in lower case, or ''."""
        return self._first.get(name, b'').decode('latin-1')

    @property
    def host(self) -> str:
        """Return the host in lower case, without its port."""
        return self.header(b'host').partition(':')[0].lower()

    @property
    def path(self) -> str:
        """Return the decoded path without the query."""
        path = self.target.partition('?')[0]
        return unquote_to_bytes(path).decode('utf-8', 'replace')

    @property
    def stated_length(self) -> int:
        """Return the stated length of the body in bytes, or 0."""
        return int(self._first.get(b'content-length', b'0'))

    @property
    def is_chunked(self) -> bool:
        """Return whether the body comes in chunks."""
        return b'transfer-encoding' in self._first

    @property
    def has_body(self) -> bool:
        """Return whether a body follows the head."""
        return self.is_chunked or self.stated_length > 0

    @property
    def head_bytes(self) -> int:
        """Return the memory of a head of many fields, and 0 of a plain one."""
        fields = len(self.headers)
        return fields * FIELD_BYTES if fields > PLAIN_FIELDS else 0
