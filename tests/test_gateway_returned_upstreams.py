"""Test upstreams whose entry was removed and that write it again.

Only a write since the removal shows that an upstream lives: no outdated listing
and no copy from which the store was restored does.
"""

from dataclasses import replace

import pytest
from crash_evidence import suspected
from gateway_world import SERVICE, ask, in_world
from spanfall_core.gateway.known.directory import Directory
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.past_lifetimes import MAX_ENDED_LIFETIMES
from spanfall_core.gateway.known.timelines import combined_revision
from spanfall_standins.gateway.upstream import complete_response, raw
from support import wait_until

NO_OUTAGE = float('-inf')
ROW = ListedUpstream('u-1', 'llm', '10.0.0.1:80', 'north', slots=8, written=1)
LEAVING = replace(ROW, leaving=True)
MISDIRECTED = b'HTTP/1.1 421 X\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n'


def written(revision, timeline=0, row=ROW):
    return replace(row, written=combined_revision(timeline, revision))


def apply(known, revision, *rows, timeline=0, outage_ended=NO_OUTAGE):
    """Apply a listing and return whether the upstream may serve."""
    combined = combined_revision(timeline, revision)
    known.apply(combined, rows, revision, outage_ended)
    return bool(known.serving('llm'))


def known_after(*listings):
    """Return a directory after listings of a revision and rows."""
    known = Directory()
    for revision, *rows in listings:
        apply(known, revision, *rows)
    return known


# Guards against an upstream that never serves again once its entry lapsed.
def test_upstream_that_writes_again_serves():
    known = known_after((5, ROW), (20,))
    assert apply(known, 31, written(30))
    assert known.past.take_returned() == {ROW.lifetime}
    assert not known.past.take_returned()


def test_upstream_returns_after_each_lapse():
    known = known_after((5, ROW), (20,), (31, written(30)), (40,))
    assert not apply(known, 45, written(39))
    assert apply(known, 51, written(50))


# Guards against an upstream that is gone and serves by an outdated listing.
def test_outdated_entry_does_not_return():
    known = known_after((5, ROW), (20,))
    assert not apply(known, 21, written(4))
    assert not apply(known, 21, written(20))
    assert known.past.ignored == {ROW.lifetime}


# The same where the pages of a listing are read one after the other: the other
# row shows that the second page is of revision 25 at least.
def test_late_page_does_not_bring_back():
    other = replace(ROW, upstream_id='u-2', service='other')
    known = known_after((5, ROW), (20, written(25, row=other)))
    assert not apply(known, 22, written(24))
    assert apply(known, 30, written(26))


# Guards against an upstream that is gone and serves by a copy of the store.
@pytest.mark.parametrize('copied', [written(3, 1), written(29, 1)])
def test_restored_entry_does_not_return(copied):
    known = known_after((5, ROW), (20,))
    assert not apply(known, 30, copied, timeline=1)
    assert not apply(known, 33, copied, timeline=1)
    assert apply(known, 41, written(40, 1), timeline=1)


def test_entry_lapses_on_a_skipped_timeline():
    known = known_after((5, ROW), (20,))
    assert not apply(known, 30, written(29, 3), timeline=3)
    assert apply(known, 32, written(31, 3), timeline=3)


# Guards against an upstream that leaves and serves again after its removal.
def test_leaving_upstream_does_not_serve_again():
    known = known_after((5, ROW), (10, LEAVING), (20,))
    assert not apply(known, 31, written(30))
    assert known.rows[ROW.lifetime].leaving


def test_said_leaving_upstream_does_not_return():
    said = {ROW.lifetime}
    known = Directory(said)
    apply(known, 5, ROW)
    apply(known, 20)
    said.clear()
    assert not apply(known, 31, written(30))


# Guards against an upstream that is gone for good as another one answered at
# its address once.
def test_upstream_found_ended_returns_by_a_write():
    known = known_after((5, ROW))
    known.end(ROW.lifetime)
    assert not known.serving('llm')
    assert not apply(known, 9, written(8))
    assert not apply(known, 12, written(9))
    assert apply(known, 20, written(15))


def test_upstream_lost_in_an_outage_returns():
    known = known_after((5, ROW))
    apply(known, 20, outage_ended=19.5)
    assert not apply(known, 23)
    assert apply(known, 31, written(30))


def test_entry_follows_the_home():
    home, entry = known_after((5, ROW)), known_after((5, ROW))
    for revision, *rows in ((20,), (31, written(30))):
        apply(home, revision, *rows)
        listed = entry.with_change(home.changes_since(entry.revision))
        entry.apply(home.revision, listed, revision, NO_OUTAGE)
        assert entry.digest == home.digest
    assert entry.serving('llm')
    late = known_after((5, ROW))
    apply(late, 31, *late.with_change(home.changes_since(5)))
    assert late.serving('llm')


def test_a_bounded_number_of_ends_is_known():
    known = Directory()
    many = [
        replace(ROW, upstream_id=f'u-{number}')
        for number in range(MAX_ENDED_LIFETIMES + 9)
    ]
    apply(known, 5, *many)
    apply(known, 20)
    assert len(known.past.ended) == MAX_ENDED_LIFETIMES


async def wait_until_serving(state, count):
    known = state.directory
    await wait_until(lambda: len(known.serving(SERVICE)) == count)


# Guards against upstreams that live, are listed and idle for good, at the home
# and at an entry that follows it.
@in_world
async def test_lapsed_upstreams_serve_again(world):
    upstreams = [await world.add_upstream(complete_response()) for _ in '123']
    states = [await world.add_gateway(), await world.add_gateway()]
    for upstream in upstreams:
        world.remove_entry(upstream)
    for state in states:
        await wait_until_serving(state, 0)
    for back in upstreams:
        world.change_entry(back)
    for following in states:
        await wait_until_serving(following, len(upstreams))
        assert (await ask(following, '/any/1')).status == 200
        registry = following.counters.registry
        counted = registry.get_sample_value('spanfall_returned_upstreams_total')
        assert counted == len(upstreams)


# Guards against requests that are refused as the cause of ends that were none.
@in_world
async def test_lapsed_upstream_has_not_crashed(world):
    upstream = await world.add_upstream(complete_response())
    state = await world.add_gateway()
    table = state.crashes.table
    table.record(suspected('cause', upstream.lifetime), state.timers.now())
    world.remove_entry(upstream)
    await wait_until_serving(state, 0)
    table.confirm_crash(upstream.lifetime, state.timers.now())
    assert table.evidence.rows
    world.change_entry(upstream)
    await wait_until_serving(state, 1)
    assert not table.evidence.rows
    assert not table.evidence.is_known_end(upstream.lifetime)


# Guards against an upstream that never serves again after one answer with 421.
@in_world
async def test_misdirected_upstream_serves_again(world):
    upstream = await world.add_upstream(raw(MISDIRECTED, keep=True))
    state = await world.add_gateway()
    assert (await ask(state, '/any/1')).status == 503
    await wait_until(lambda: bool(state.directory.past.ignored))
    upstream.behaviour = complete_response()
    assert (await ask(state, '/any/2')).status == 503
    world.change_entry(upstream)
    await wait_until_serving(state, 1)
    assert (await ask(state, '/any/3')).status == 200
