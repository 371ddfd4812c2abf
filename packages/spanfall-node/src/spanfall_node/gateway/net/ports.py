"""Define the interface of platform adapters: names and translation only.

An adapter is a value made of pure functions: it takes no decisions, keeps no
state and does no I/O.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from spanfall_core.gateway.known.configuration import ServedConfiguration
from spanfall_core.gateway.known.listed import ListedUpstream, UnusableRecord
from spanfall_core.gateway.known.stated_loads import InvalidLoad, StatedLoad
from spanfall_core.gateway.known.statements import Statement

Headers = list[tuple[bytes, bytes]]


class InvalidRecordError(ValueError):
    """Report why the bytes read are not a valid record."""


@dataclass(frozen=True, slots=True)
class HttpCall:
    """Describe one HTTP call to a service of the platform."""

    method: str
    target: str
    headers: Headers = field(default_factory=list)
    body: bytes = b''

    def framed_headers(self, host: str) -> Headers:
        """Return the headers with the host and the length of the body."""
        headers = list(self.headers)
        if not any(name == b'host' for name, _ in headers):
            headers.insert(0, (b'host', host.encode()))
        if self.body or self.method in {'POST', 'PUT', 'PATCH'}:
            headers.append((b'content-length', b'%d' % len(self.body)))
        return headers


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Hold a complete HTTP response."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header by its lower-case name, or b''."""
        return next((text for key, text in self.headers if key == name), b'')


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Name the headers between callers, nodes and upstreams, in lower case."""

    attempt_id: bytes
    deadline_ms: bytes
    prompt_parts: bytes
    token_counts: bytes
    last_event_id: bytes
    #: Names the attempt that brought the first event of a resumed stream.
    first_attempt: bytes
    #: Set by an upstream on the responses that it generates itself.
    signature: bytes
    workspace: bytes
    expected_lifetime: bytes
    lifetime: bytes
    load: bytes
    not_run: bytes
    engine_priority: bytes
    #: Authentication scheme of keys in the authorization header.
    key_scheme: bytes
    #: Headers that only nodes may set; they are removed from callers' requests.
    set_by_nodes: frozenset[bytes] = frozenset()


@dataclass(frozen=True, slots=True)
class StoredItem:
    """Hold one item read from the store."""

    key: str
    content: bytes
    revision: int
    created: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Listing:
    """Hold one page of items and the revision at which it was read."""

    items: tuple[StoredItem, ...]
    revision: int
    has_more: bool = False


@dataclass(frozen=True, slots=True)
class Write:
    """Describe one item to write."""

    key: str
    content: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class StoreDialect:
    """Build calls to the store and decode their responses."""

    configuration_key: str
    upstream_prefix: str
    get: Callable[[str], HttpCall]
    list_items: Callable[[str, str], HttpCall]
    #: Arguments: expected revisions, items to write, keys to remove.
    transact: Callable[
        [dict[str, int], tuple[Write, ...], tuple[str, ...]],
        HttpCall,
    ]
    grant: Callable[[int], HttpCall]
    renew: Callable[[int], HttpCall]
    revoke: Callable[[int], HttpCall]
    read_item: Callable[[bytes], StoredItem]
    read_listing: Callable[[bytes], Listing]
    read_revision: Callable[[bytes], int]
    read_lease: Callable[[bytes], int]
    #: Timeline of a response; None if the response does not contain it. A
    #: store that is restored from a backup starts the next timeline.
    read_timeline: Callable[[Headers], int | None]


@dataclass(frozen=True, slots=True)
class CloudDialect:
    """Build the calls that one node makes for the fleet as holder of a duty."""

    #: Arguments: holder, fencing token, window, counts by workspace.
    report_usage: Callable[[str, int, int, dict[str, int]], HttpCall]
    #: Arguments: holder, fencing token, service, data centre, count,
    #: reclaimable.
    order_upstreams: Callable[[str, int, str, str, int, bool], HttpCall]


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Hold all platform-specific names and functions of a node."""

    names: HeaderNames
    store: StoreDialect
    cloud: CloudDialect
    readiness_path: str
    #: Argument: content of the item. Raises InvalidRecordError.
    read_configuration: Callable[[bytes], ServedConfiguration]
    #: Argument: item with an upstream's record.
    read_upstream: Callable[[StoredItem], ListedUpstream | UnusableRecord]
    #: Arguments: status and headers of an upstream's response.
    read_statement: Callable[[int, Headers], Statement]
    #: Argument: headers of an upstream's response. None if it states no load.
    read_load: Callable[[Headers], StatedLoad | InvalidLoad | None]
