"""Each entry knows peers that reach upstreams, and load spreads over them."""

from collections import Counter

import pytest
from spanfall_core.gateway.known.peers import MAX_PEERS, Peer, PeerTable
from spanfall_core.gateway.known.reachability import Reachability

SIZES = [8, 60, 570]
DATA_CENTRES = 4


def entry(number):
    return f'edge-{number:03}/i{number}'


def data_centre(number):
    return f'dc-{number % DATA_CENTRES}'


def filled(size):
    table = PeerTable()
    for number in range(size):
        peer = Peer(
            f'10.0.{number // 250}.{number % 250}:1', data_centre(number)
        )
        table.record(entry(number), peer)
    return table


def first_peers(table, numbers):
    return [
        table.chosen_for(entry(number), data_centre(number))[0]
        for number in numbers
    ]


@pytest.mark.parametrize('size', SIZES)
def test_each_entry_has_peers_near_and_far(size):
    table = filled(size)
    for number in range(size):
        peers = table.chosen_for(entry(number), data_centre(number))
        assert len(set(peers)) == MAX_PEERS
        assert peers[0].data_centre == data_centre(number)
        assert len({peer.data_centre for peer in peers}) > 1


# Guards against most entries of a data centre that are cut off.
@pytest.mark.parametrize('size', SIZES)
def test_cut_entries_are_no_peers(size):
    table = filled(size)
    cut = [number for number in range(size) if number % DATA_CENTRES == 0]
    for number in cut:
        table.record_cut(entry(number), is_cut=True)
    for number in range(size):
        peers = table.chosen_for(entry(number), data_centre(number))
        assert len(peers) == MAX_PEERS
        assert all(peer.data_centre != 'dc-0' for peer in peers)


@pytest.mark.parametrize('size', SIZES)
def test_load_of_cut_entries_is_spread(size):
    table = filled(size)
    cut = [number for number in range(size) if number % 8 in {0, 3}]
    for number in cut:
        table.record_cut(entry(number), is_cut=True)
    carried = Counter(first_peers(table, cut))
    assert max(carried.values()) <= 2


def test_a_table_changes_only_with_its_entries():
    table = filled(8)
    version = table.version
    table.record(entry(1), Peer('10.0.0.1:1', data_centre(1)))
    table.record_cut(entry(1), is_cut=False)
    table.record_cut('unknown', is_cut=True)
    table.remove('unknown')
    assert table.version == version
    table.remove(entry(1))
    assert table.version == version + 1


def test_one_peer_is_no_peer_of_itself():
    assert not filled(1).chosen_for(entry(0), data_centre(0))


# Guards against one silent upstream that is taken for a cut.
def test_cut_entry_reaches_nothing_else():
    reach = Reachability()
    reach.record_reached('u-1', 1)
    reach.record_blocked('u-2', 2)
    assert (reach.is_cut, reach.is_blocked('u-3')) == (False, False)
    reach.record_blocked('u-3', 3)
    assert (reach.is_cut, reach.is_blocked('u-1')) == (True, True)
    reach.record_reached('u-1', 4)
    assert (reach.is_cut, reach.is_blocked('u-1')) == (False, False)
    assert reach.is_blocked('u-2')
    reach.record_reached('u-3', 5)
    assert not reach.blocked


def test_blocked_addresses_are_checked_in_turn():
    reach = Reachability()
    for number, address in enumerate('abc'):
        reach.record_blocked(address, number)
    checked = [reach.next_to_check() for _ in range(6)]
    assert checked == list('abc') * 2
