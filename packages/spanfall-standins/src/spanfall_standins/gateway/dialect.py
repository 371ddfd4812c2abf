"""Adapt the test platform, which uses plain JSON with short names."""

from dataclasses import replace
from urllib.parse import urlencode

import msgspec
from spanfall_core.gateway.known.configuration import (
    CallerLimits,
    Route,
    RouteKind,
    Scaling,
    ServedConfiguration,
    ServedService,
    ServedWorkspace,
    ServiceShare,
)
from spanfall_core.gateway.known.listed import ListedUpstream, UnusableRecord
from spanfall_core.gateway.known.origins import read_software_version
from spanfall_core.gateway.known.statements import Statement, read_decimal
from spanfall_core.gateway.known.timelines import read_timeline
from spanfall_node.gateway.net.ports import (
    CloudDialect,
    HeaderNames,
    Headers,
    HttpCall,
    Listing,
    PlatformAdapter,
    StoreDialect,
    StoredItem,
    Write,
)

from spanfall_standins.gateway.loads import LOAD_HEADER, read_load

CONFIGURATION_KEY = 'operator/configuration'
UPSTREAM_PREFIX = 'upstreams/'
TIMELINE_HEADER = b'timeline'

NAMES = HeaderNames(
    attempt_id=b'attempt',
    deadline_ms=b'left-ms',
    prompt_parts=b'parts',
    token_counts=b'tokens',
    last_event_id=b'last-event-id',
    first_attempt=b'resumes',
    signature=b'signed',
    workspace=b'workspace',
    expected_lifetime=b'lifetime-wanted',
    lifetime=b'lifetime',
    load=LOAD_HEADER,
    not_run=b'not-run',
    engine_priority=b'rank',
    key_scheme=b'Key',
    set_by_nodes=frozenset((b'workspace', b'left-ms', b'lifetime-wanted')),
)


class PlainShare(msgspec.Struct):
    """Decode the weight of one service in a route."""

    service: str
    weight: int = 1


class PlainRoute(msgspec.Struct):
    """Decode one route; times are in seconds."""

    name: str
    host: str
    prefix: str
    shares: list[PlainShare]
    kind: RouteKind = RouteKind.NON_IDEMPOTENT
    timeout: float = 5
    target: float = 1
    most: int = 2
    key: bool = False
    resumable: bool = False


class PlainWorkspace(msgspec.Struct):
    """Decode one workspace."""

    name: str
    keys: list[str]
    rate: float = 0
    burst: float = 0
    priority: int | None = None


class PlainService(msgspec.Struct):
    """Decode one service; ``most`` > 0 enables scaling up to that number."""

    name: str
    most: int = 0


class PlainConfiguration(msgspec.Struct):
    """Decode a complete configuration."""

    routes: list[PlainRoute]
    #: Increases with each change.
    version: int = 0
    services: list[PlainService] = []
    workspaces: list[PlainWorkspace] = []
    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: float = 3
    idle_timeout: float = 15


class PlainItem(msgspec.Struct):
    """Represent one item of the store; its content is text."""

    key: str
    content: str
    revision: int
    created: int
    lease: int = 0


class PlainPage(msgspec.Struct):
    """Represent all items under a prefix."""

    items: list[PlainItem]
    revision: int


class PlainTransaction(msgspec.Struct):
    """Represent a conditional write."""

    expected: dict[str, int]
    writes: list[tuple[str, str, int]]
    removed: tuple[str, ...] = ()


def _read_configuration(source: bytes) -> ServedConfiguration:
    plain = msgspec.json.decode(source, type=PlainConfiguration)
    return ServedConfiguration(
        plain.version,
        [_route(row) for row in plain.routes],
        [_service(row) for row in plain.services],
        [
            ServedWorkspace(
                row.name,
                frozenset(row.keys),
                priority=row.priority,
                rate=row.rate,
                burst=row.burst,
            )
            for row in plain.workspaces
        ],
        CallerLimits(
            plain.header_bytes,
            plain.body_bytes,
            plain.header_timeout,
            plain.idle_timeout,
        ),
    )


def _route(row: PlainRoute) -> Route:
    return Route(
        name=row.name,
        host=row.host,
        path_prefix=row.prefix,
        kind=row.kind,
        timeout=row.timeout,
        target=row.target,
        shares=tuple(
            ServiceShare(share.service, share.weight) for share in row.shares
        ),
        max_upstreams=row.most,
        needs_key=row.key,
        resumable=row.resumable,
    )


def _service(row: PlainService) -> ServedService:
    if not row.most:
        return ServedService(row.name, 100)
    return ServedService(row.name, 100, scaling=Scaling(0, row.most, 1))


def _read_upstream(item: StoredItem) -> ListedUpstream | UnusableRecord:
    try:
        fields = msgspec.json.decode(item.content, type=dict[str, object])
        version = read_software_version(fields.pop('software_version', None))
        row = msgspec.convert(fields, ListedUpstream)
    except ValueError as exc:
        return UnusableRecord(item.key.removeprefix(UPSTREAM_PREFIX), str(exc))
    return replace(row, software_version=version, written=item.revision)


def _read_statement(status: int, headers: Headers) -> Statement:
    fields = dict(headers)
    rate = read_decimal(fields.get(b'takes-a-second', b''))
    return Statement(
        rate=rate,
        is_rate_invalid=b'takes-a-second' in fields and rate is None,
        rejections=read_decimal(fields.get(b'survives', b'')),
        leaves=b'leaves' in fields,
        backoff=read_decimal(fields.get(b'back-off', b'')) or 0,
    )


def _get(key: str) -> HttpCall:
    return HttpCall('GET', '/item?{0}'.format(urlencode({'key': key})))


def _list_items(prefix: str, after: str) -> HttpCall:
    return HttpCall('GET', '/items?{0}'.format(urlencode({'prefix': prefix})))


def _transact(
    expected: dict[str, int],
    writes: tuple[Write, ...],
    removed: tuple[str, ...],
) -> HttpCall:
    rows = [(row.key, row.content.decode(), row.lease) for row in writes]
    body = msgspec.json.encode(PlainTransaction(expected, rows, removed))
    return HttpCall('POST', '/transaction', body=body)


def _item(plain: PlainItem) -> StoredItem:
    return StoredItem(
        plain.key,
        plain.content.encode(),
        plain.revision,
        plain.created,
        plain.lease,
    )


def _read_listing(body: bytes) -> Listing:
    page = msgspec.json.decode(body, type=PlainPage)
    return Listing(tuple(_item(row) for row in page.items), page.revision)


STORE = StoreDialect(
    configuration_key=CONFIGURATION_KEY,
    upstream_prefix=UPSTREAM_PREFIX,
    get=_get,
    list_items=_list_items,
    transact=_transact,
    grant=lambda ttl_ms: HttpCall('POST', f'/lease/new/{ttl_ms}'),
    renew=lambda lease: HttpCall('POST', f'/lease/renew/{lease}'),
    revoke=lambda lease: HttpCall('POST', f'/lease/end/{lease}'),
    read_item=lambda body: _item(msgspec.json.decode(body, type=PlainItem)),
    read_listing=_read_listing,
    read_revision=int,
    read_lease=int,
    read_timeline=lambda rows: read_timeline(
        dict(rows).get(TIMELINE_HEADER, b'')
    ),
)


class PlainUsage(msgspec.Struct):
    """Encode the usage of one window."""

    holder: str
    token: int
    window: int
    counts: dict[str, int]


class PlainOrder(msgspec.Struct):
    """Encode an order of upstreams."""

    holder: str
    token: int
    service: str
    data_centre: str
    count: int
    reclaimable: bool


CLOUD = CloudDialect(
    report_usage=lambda *row: HttpCall(
        'POST',
        '/usage',
        body=msgspec.json.encode(PlainUsage(*row)),
    ),
    order_upstreams=lambda *row: HttpCall(
        'POST',
        '/order',
        body=msgspec.json.encode(PlainOrder(*row)),
    ),
)

ADAPTER = PlatformAdapter(
    names=NAMES,
    store=STORE,
    cloud=CLOUD,
    readiness_path='/ready',
    read_configuration=_read_configuration,
    read_upstream=_read_upstream,
    read_statement=_read_statement,
    read_load=read_load,
)
