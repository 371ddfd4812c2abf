"""Know which versions and services may have begun a stream."""

from types import SimpleNamespace

import anyio
import pytest
from anyio.lowlevel import checkpoint
from spanfall_core.gateway.known.configuration import (
    Route,
    RouteKind,
    ServiceShare,
)
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.origins import Origin
from spanfall_core.gateway.known.stream_origins import (
    OriginGroup,
    StreamOrigins,
    StreamRecord,
    group_records,
    stream_key,
    ungroup_records,
)
from spanfall_core.gateway.known.version_history import (
    NEVER,
    RouteClaim,
    RouteHistory,
    SoleVersion,
    VersionHistory,
)
from spanfall_node.gateway.store.store_errors import (
    StoreRefusedError,
)
from spanfall_node.gateway.store.version_record import (
    VERSIONS_KEY,
    VersionRecord,
)
from support import run_async

OLD, NEW = Origin('s', 'v1'), Origin('s', 'v2')


def listing(*versions):
    return [
        ListedUpstream(f'u-{number}', 's', '', '', 1, software_version=version)
        for number, version in enumerate(versions)
    ]


# Guards against one text of two versions, at a node that was cut off for long
# enough for another version to come and go.
@pytest.mark.parametrize(('gap', 'is_known'), [(3, True), (4, False)])
def test_a_gap_between_listings(gap, is_known):
    known = VersionHistory(max_gap=3.6)
    known.claim({'s': SoleVersion('v1', NEVER)})
    known.record_gap(NEVER, 10)
    known.apply(listing('v1'), 10)
    known.record_gap(10, 10 + gap)
    known.apply(listing('v1'), 10 + gap)
    assert bool(known.sole_version('s', 8, 20)) is is_known
    assert known.sole_version('s', 5, 20) == 'v1'


def routes_to(*services):
    shares = tuple(ServiceShare(service, 1) for service in services)
    return [Route('r', 'h', '/', RouteKind.STREAM, 1, 1, shares)]


@pytest.mark.parametrize(
    ('listings', 'expected'),
    [
        ([('v1',)], 'v1'),
        ([('v1', 'v1')], 'v1'),
        ([('v1', 'v2')], None),
        ([('v1', None)], None),
        ([(None,)], None),
        ([()], None),
        # The other version ended within the time asked for.
        ([('v1', 'v2'), ('v1',)], None),
        # It ended before.
        ([('v1', 'v2'), ('v1',), ('v1',), ('v1',), ('v1',)], 'v1'),
    ],
)
def test_the_sole_version(listings, expected):
    history = VersionHistory()
    for second, versions in enumerate(listings):
        history.apply(listing(*versions), 10 * second)
    history.known_since = NEVER
    now = 10 * (len(listings) - 1)
    assert history.sole_version('s', 25, now) == expected


# Guards against a guess by a node that has just started.
def test_a_new_node_knows_no_sole_version():
    history = VersionHistory()
    history.apply(listing('v1'), 100)
    assert history.sole_version('s', 25, 124) is None
    assert history.sole_version('s', 25, 125) == 'v1'
    history.claim({'s': SoleVersion('v1', 50)})
    assert history.sole_version('s', 25, 100) == 'v1'
    history.claim({'s': SoleVersion('v2', 50)})
    assert history.sole_version('s', 25, 100) is None


# Guards against taking a route that was moved for one that never was.
def test_the_sole_service_of_a_route():
    history = RouteHistory()
    history.apply(routes_to('s'), 1, 100)
    assert history.sole_service('r', 25, 110) is None
    history.claim(RouteClaim(2, NEVER, {}))
    assert history.sole_service('r', 25, 110) is None
    history.claim(RouteClaim(1, NEVER, {'r': 90}))
    assert history.sole_service('r', 25, 110) is None
    assert history.sole_service('r', 25, 120) == 's'
    history.apply(routes_to('s', 't'), 2, 120)
    assert history.sole_service('r', 0, 200) is None
    history.apply(routes_to('t'), 3, 130)
    assert history.sole_service('r', 25, 150) is None
    assert history.changed(150) == {'r': 130}
    assert history.sole_service('r', 25, 155) == 't'


def test_a_claim_waits_for_a_configuration():
    history = RouteHistory()
    history.claim(RouteClaim(1, NEVER, {}))
    history.apply(routes_to('s'), 1, 100)
    assert history.sole_service('r', 25, 100) == 's'


def test_a_begun_stream_replaces_a_grant():
    table = StreamOrigins()
    assert table.record(StreamRecord(1, OLD, 50), 0)
    assert not table.record(StreamRecord(1, OLD, 50), 0)
    assert table.record(StreamRecord(1, NEW, 50, is_begun=True), 0)
    assert not table.record(StreamRecord(1, OLD, 50), 0)
    assert table.find(1, 0) == NEW
    table.record(StreamRecord(1, OLD, 50, is_begun=True), 0)
    assert table.find(1, 0) == Origin('s', None)


def test_records_expire_unless_deferred():
    table = StreamOrigins()
    for key in (1, 2):
        table.record(StreamRecord(key, OLD, 10), 0)
    table.defer(2, 30)
    assert table.find(1, 9.9) == OLD
    assert [table.find(key, 12) for key in (1, 2)] == [None, OLD]
    assert table.find(2, 32) is None
    assert not len(table)


# Guards against a table that grows by what callers send.
def test_the_table_is_bounded(monkeypatch):
    module = 'spanfall_core.gateway.known.stream_origins.MAX_RECORDS'
    monkeypatch.setattr(module, 100)
    table = StreamOrigins()
    for key in range(1000):
        table.record(StreamRecord(key, OLD, key), 0)
    table.defer(5000, 60)
    assert len(table) <= 100
    assert table.find(999, 0) == OLD


def test_records_survive_a_message():
    table = StreamOrigins()
    rows = [
        StreamRecord(stream_key('w', 'r', str(number)), origin, 20 + number)
        for number, origin in enumerate((OLD, NEW, OLD))
    ]
    for row in rows:
        table.record(row, 0)
    copy = StreamOrigins()
    for row in ungroup_records(group_records(table.records(1), 1), 101):
        copy.record(row, 101)
    assert {row.key: copy.find(row.key, 101) for row in rows} == {
        row.key: row.origin for row in rows
    }
    assert copy.find(rows[0].key, 119) == OLD
    assert copy.find(rows[0].key, 122) is None


def test_truncated_keys_are_rejected():
    with pytest.raises(ValueError, match='got 7 bytes'):
        list(
            ungroup_records(
                [OriginGroup('s', 'v1', 1, b'x' * 7, is_begun=True)], 0
            )
        )


def test_keys_differ_by_workspace_and_route():
    keys = {
        stream_key(*names)
        for names in (('w', 'r', 'a'), ('w2', 'r', 'a'), ('w', 'r2', 'a'))
    }
    assert len(keys) == 3


# Guards against calls by all nodes again and again while the store is away.
def test_no_calls_while_the_store_is_away():
    calls = []

    async def get(key):
        await checkpoint()
        calls.append(key)
        store.is_failing = True
        raise StoreRefusedError

    store = SimpleNamespace(is_failing=False, get=get)

    async def play():
        state = SimpleNamespace(tenure=None, home_changed=anyio.Event())
        with anyio.move_on_after(1):
            await VersionRecord(state, store).run()

    run_async(play)
    assert calls == [VERSIONS_KEY]
