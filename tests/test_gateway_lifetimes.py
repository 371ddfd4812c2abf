"""Test upstreams that restart under the same id, and malformed records."""

from dataclasses import replace

import msgspec
import pytest
from gateway_world import SERVICE, ask, in_world
from hypothesis import given
from hypothesis import strategies as st
from spanfall_core.gateway.known.directory import Directory
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.loads import Loads
from spanfall_core.gateway.known.prefixes import PrefixIndex, PromptPart
from spanfall_standins.gateway.dialect import UPSTREAM_PREFIX
from spanfall_standins.gateway.upstream import complete_response
from support import wait_until

NO_OUTAGE = float('-inf')
ROW = ListedUpstream('u-1', 'llm', '10.0.0.1:80', 'north', slots=8, born=1000)
RESTARTED = replace(ROW, born=2000)
OTHER = replace(ROW, upstream_id='u-2', address='10.0.0.2:80')


def directory(*listings):
    """Return a directory after applying some listings."""
    known = Directory()
    for number, rows in enumerate(listings):
        known.apply(number + 1, rows, number, NO_OUTAGE)
    return known


def serving(known):
    """Return the lifetimes that may receive work."""
    return {row.lifetime for row in known.serving('llm')}


def test_later_start_serves_at_once():
    known = directory([ROW, OTHER], [OTHER], [RESTARTED, OTHER])
    assert serving(known) == {RESTARTED.lifetime, OTHER.lifetime}


def test_later_start_replaces_earlier_one():
    known = directory([ROW], [RESTARTED])
    assert serving(known) == {RESTARTED.lifetime}
    assert known.changes_since(1).removed == (ROW.lifetime,)


def test_ended_lifetime_does_not_return():
    known = directory([ROW], [RESTARTED], [ROW])
    assert not serving(known)


def test_start_without_time_does_not_serve():
    known = directory([RESTARTED], [replace(ROW, born=None)], [RESTARTED])
    assert serving(known) == {RESTARTED.lifetime}


def test_earlier_start_pauses_later_one():
    known = directory([ROW], [RESTARTED])
    known.apply(3, [ROW, OTHER], 3, NO_OUTAGE)
    assert serving(known) == {OTHER.lifetime}
    known.apply(4, [RESTARTED, OTHER], 4, NO_OUTAGE)
    assert serving(known) == {RESTARTED.lifetime, OTHER.lifetime}


def test_unusable_record_pauses_its_upstream():
    known = directory([ROW, OTHER])
    known.apply(2, [OTHER], 2, NO_OUTAGE, {'u-1'})
    assert serving(known) == {OTHER.lifetime}
    known.apply(3, [ROW, OTHER], 3, NO_OUTAGE)
    assert serving(known) == {ROW.lifetime, OTHER.lifetime}


def test_removed_paused_upstream_has_ended():
    known = directory([ROW])
    known.apply(2, [], 2, NO_OUTAGE, {'u-1'})
    known.apply(3, [], 3, NO_OUTAGE)
    known.apply(4, [ROW], 4, NO_OUTAGE)
    assert not serving(known)


def test_retained_row_is_replaced_by_later_start():
    known = directory([ROW, OTHER])
    known.apply(2, [], 10, 9.5)
    assert serving(known) == {ROW.lifetime, OTHER.lifetime}
    known.apply(3, [RESTARTED], 10.5, 9.5)
    assert serving(known) == {RESTARTED.lifetime, OTHER.lifetime}
    known.apply(4, [RESTARTED], 12, 9.5)
    assert serving(known) == {RESTARTED.lifetime}


def test_delta_carries_paused_upstreams():
    home = directory([ROW, OTHER])
    entry = directory([ROW, OTHER])
    home.apply(2, [OTHER], 2, NO_OUTAGE, {'u-1'})
    rows = entry.with_change(home.changes_since(1))
    entry.apply(2, rows, 2, NO_OUTAGE)
    assert serving(entry) == {OTHER.lifetime}
    assert entry.digest == home.digest


def test_late_end_does_not_affect_next_lifetime():
    loads, prefixes = Loads(), PrefixIndex()
    parts = (PromptPart('a', 100),)
    loads.begin(ROW.lifetime, 50)
    loads.fail(ROW.lifetime, 0)
    prefixes.record(ROW.lifetime, parts)
    loads.begin(RESTARTED.lifetime, 70)
    loads.end(ROW.lifetime)
    assert loads.running_at(RESTARTED.lifetime) == 1
    assert loads.prefill_at(RESTARTED.lifetime) == 70
    assert not loads.failures_at(RESTARTED.lifetime, 0)
    assert not prefixes.cached_tokens(RESTARTED.lifetime, parts)


STARTS = st.lists(
    st.lists(
        st.sampled_from([None, 'garbage', 1000, 2000, 3000]),
        min_size=3,
        max_size=3,
    ),
    min_size=1,
    max_size=12,
)


@given(STARTS)
def test_only_latest_start_serves(listings):
    """Test starts, malformed records and gaps in any order.

    The entry follows the home through deltas.
    """
    home, entry = Directory(), Directory()
    latest: dict[str, int] = {}
    for number, starts in enumerate(listings):
        rows = []
        unusable = set()
        for place, born in enumerate(starts):
            upstream_id = f'u-{place}'
            if born == 'garbage':
                unusable.add(upstream_id)
            elif born is not None:
                row = replace(ROW, upstream_id=upstream_id, born=born)
                rows.append(row)
                latest[upstream_id] = max(born, latest.get(upstream_id, 0))
        home.apply(number + 1, rows, number, NO_OUTAGE, unusable)
        rows_of_entry = entry.with_change(home.changes_since(entry.revision))
        entry.apply(home.revision, rows_of_entry, number, NO_OUTAGE)
        listed = {row.lifetime for row in rows}
        for row in home.serving('llm'):
            assert row.lifetime in listed
            assert row.born == latest[row.upstream_id]
        assert entry.digest == home.digest


def list_restarted(world, upstream_id, address, born):
    """Write the record of an upstream that has restarted."""
    row = ListedUpstream(upstream_id, SERVICE, address, 'north', 4, born=born)
    content = msgspec.json.encode(row).decode()
    world.store.put(f'{UPSTREAM_PREFIX}{upstream_id}', content)


@in_world
async def test_malformed_record_hides_no_other(world):
    """Test that the others are listed and the malformed record counts once.

    It is counted once for each change of the record, not for each listing.
    """
    upstream = await world.add_upstream(complete_response())
    world.store.put(f'{UPSTREAM_PREFIX}u-x', '[]')
    state = await world.add_unready_gateway()
    await wait_until(lambda: upstream.lifetime in state.directory.rows)
    listed = world.store.listings
    await wait_until(lambda: world.store.listings > listed + 1)
    answer = await ask(state, '/once/7')
    registry = state.counters.registry
    counted = registry.get_sample_value('spanfall_unusable_entries_total')
    assert (answer.status, counted) == (200, 1)


# Guards against requests without an answer while the address of one of several
# upstreams is none, with a peer that is asked as well.
@pytest.mark.parametrize(
    'address', ['12\u0667.0.0.1:9', '\u0627.0.0.1:9', '127.0.0.1:99999', 'x']
)
def test_invalid_address_fails_no_request(address, caplog):
    @in_world
    async def play(world):
        await world.add_upstream(complete_response())
        other = await world.add_upstream(complete_response())
        world.change_entry(other, address=address)
        states = [await world.add_gateway(), await world.add_gateway()]
        await wait_until(lambda: all(state.reach.peers for state in states))
        answers = [
            await ask(states[number % 2], '/once/7', attempt=f'a{number}')
            for number in range(12)
        ]
        assert {answer.status for answer in answers} == {200}
        assert 'Unexpected' not in caplog.text

    play()


@in_world
async def test_restarted_upstream_serves(world):
    """Test an upstream that is listed, removed and listed again with its id."""
    upstream = await world.add_upstream(complete_response())
    state = await world.add_gateway()
    key = f'{UPSTREAM_PREFIX}{upstream.lifetime}'
    address = next(iter(state.directory.rows.values())).address
    world.store.remove(key)
    await wait_until(lambda: not state.directory.rows)
    list_restarted(world, upstream.lifetime, address, 2000)
    await wait_until(lambda: bool(state.directory.serving(SERVICE)))
    assert (await ask(state, '/once/7')).status == 200
    seen = upstream.received_requests[-1].headers
    assert seen['lifetime-wanted'] == upstream.lifetime
