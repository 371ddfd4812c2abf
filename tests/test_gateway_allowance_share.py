"""Hold a share of a common allowance only where no other process may."""

from math import inf
from unittest.mock import Mock

from gateway_world import in_world
from spanfall_core.gateway.known.reporting import report_period
from spanfall_core.gateway.routing.allowance_share import (
    LEASE_SECONDS,
    AllowanceShare,
)
from spanfall_node.gateway.home.followed_table import FollowedTable
from spanfall_node.gateway.home.totals import follow_own_table
from spanfall_node.gateway.links.messages import TableMessage
from support import wait_until

WINDOW, HOME_LEASE = 10, 3


def new_share(started_at=-inf):
    return AllowanceShare(WINDOW, HOME_LEASE, started_at)


def test_a_process_that_starts_holds_nothing():
    """The process before it and a fleet that it never saw may have it all."""
    share = new_share(started_at=0)
    held = {}
    for second in range(30):
        share.tell(4, second)
        held[second] = share.part(second)
    assert not any(held[second] for second in range(17))
    assert held[17] == 0.25


def test_the_largest_number_counts():
    """A home that sees half of the entries does not double their shares."""
    share = new_share()
    share.tell(8, 0)
    for second in range(1, 40):
        share.tell(4, second)
    assert share.part(17) == 1 / 8
    assert share.part(18) == 1 / 4


def test_more_entries_count_at_once():
    share = new_share()
    for entries in range(1, 600, 7):
        share.tell(entries, entries / 1000)
        assert share.part(entries / 1000) == 1 / entries


def test_a_share_ends_without_a_home():
    """Others may divide the allowance without an entry that no home sees."""
    share = new_share()
    share.tell(8, 0)
    assert share.part(4) == 1 / 8
    assert not share.part(4.1)


def test_a_share_outlasts_the_period_of_reports():
    """An entry hears from the home once in each period of its reports."""
    for entries in range(8, 601):
        assert report_period(entries) < LEASE_SECONDS


def table_with(entries, *, resigned):
    """Return a table of a home that counts some entries."""
    return TableMessage(
        epoch=1,
        configuration_version=0,
        proof_age=0,
        upstreams_age=0,
        true_time=0,
        entries=entries,
        resigned=resigned,
    )


@in_world
async def test_only_a_current_home_renews_a_share(world):
    """A home that is cut off counts those that are cut off with it.

    A table may wait behind a cut, so its number is as old as the report.
    """
    state = await world.add_gateway()
    share = state.retries.share
    table = FollowedTable(state, Mock())
    sent_at = state.timers.now() + 5
    table.apply(table_with(30, resigned=False), sent_at)
    table.apply(table_with(90, resigned=True), sent_at + 1)
    assert share.told_at == sent_at
    assert share.largest_count(sent_at) == 30


@in_world
async def test_a_home_without_a_lease_tells_nothing(world):
    state = await world.add_gateway()
    share = state.retries.share
    await wait_until(lambda: state.is_home(state.timers.now()))
    await wait_until(lambda: share.part(state.timers.now()) > 0)
    state.tenure.resign()
    told_at = share.told_at
    follow_own_table(state)
    assert share.told_at == told_at
