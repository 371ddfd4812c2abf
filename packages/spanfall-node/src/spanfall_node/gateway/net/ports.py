"""State what a platform's adapter provides: names and translation only.

An adapter is a value of plain functions. It makes no decision, keeps no
state and does no input or output.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from spanfall_core.gateway.known.configuration import ServedConfiguration
from spanfall_core.gateway.known.listed import ListedUpstream, UnusableRecord
from spanfall_core.gateway.known.statements import Statement

Headers = list[tuple[bytes, bytes]]


class InvalidRecordError(ValueError):
    """Say why bytes that were read are not the record that was expected."""


@dataclass(frozen=True, slots=True)
class HttpCall:
    """Describe one call to a service of the platform."""

    method: str
    target: str
    headers: Headers = field(default_factory=list)
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Hold a whole answer."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header in lower case, or nothing."""
        return next((text for key, text in self.headers if key == name), b'')


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Name the headers between callers, nodes and upstreams; lower case."""

    attempt_id: bytes
    deadline_ms: bytes
    prompt_parts: bytes
    token_counts: bytes
    last_event_id: bytes
    #: The upstream's mark on its own answer.
    signature: bytes
    workspace: bytes
    expected_lifetime: bytes
    lifetime: bytes
    load: bytes
    not_run: bytes
    engine_priority: bytes
    #: The scheme of the key in the authorization header.
    key_scheme: bytes
    #: Headers that only a node may set; what callers send is dropped.
    set_by_nodes: frozenset[bytes] = frozenset()


@dataclass(frozen=True, slots=True)
class StoredItem:
    """Hold one item of the store."""

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
    """Describe one item to be written."""

    key: str
    content: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class StoreDialect:
    """Build the calls of the store and read their answers."""

    configuration_key: str
    upstream_prefix: str
    get: Callable[[str], HttpCall]
    list_items: Callable[[str, str], HttpCall]
    #: Expected revisions, what is written, and keys that are removed.
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
    #: The timeline that an answer is from; None: it does not say. A store that
    #: was restored from a copy is on the next one.
    read_timeline: Callable[[Headers], int | None]


@dataclass(frozen=True, slots=True)
class CloudDialect:
    """Build the calls that one node makes for all; each names its holder."""

    #: Holder, fencing token, window and counts by workspace.
    report_usage: Callable[[str, int, int, dict[str, int]], HttpCall]
    #: Holder, fencing token, service, data centre, count, reclaimable.
    order_upstreams: Callable[[str, int, str, str, int, bool], HttpCall]


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Hold all that a node knows of the platform it runs on."""

    names: HeaderNames
    store: StoreDialect
    cloud: CloudDialect
    readiness_path: str
    #: The item's content; raises InvalidRecordError.
    read_configuration: Callable[[bytes], ServedConfiguration]
    #: Key in the store and the item's content.
    read_upstream: Callable[[str, bytes], ListedUpstream | UnusableRecord]
    #: Status and headers of an upstream's answer.
    read_statement: Callable[[int, Headers], Statement]
