"""Test that entries follow the upstream list of the home through deltas."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st
from spanfall_core.gateway.known.directory import Directory
from spanfall_core.gateway.known.listed import ListedUpstream

NO_OUTAGE = float('-inf')
ROWS = [
    ListedUpstream(f'u-{number}', 'llm', '', 'north', slots=8)
    for number in range(6)
]
#: State of each row: not listed, listed or leaving.
LISTINGS = st.lists(
    st.lists(st.sampled_from(['', 'serves', 'leaves']), min_size=6, max_size=6),
    min_size=1,
    max_size=12,
)


def listed(states):
    """Return the rows of a listing."""
    return [
        replace(row, leaving=state == 'leaves')
        for row, state in zip(ROWS, states, strict=True)
        if state
    ]


@given(LISTINGS, st.integers(0, 11))
def test_entry_catches_up_from_delta(listings, last_applied):
    """Test that an entry that missed some listings catches up from a delta."""
    home, entry = Directory(), Directory()
    for number, states in enumerate(listings):
        home.apply(number + 1, listed(states), 0, NO_OUTAGE)
        if number <= last_applied:
            entry.apply(number + 1, listed(states), 0, NO_OUTAGE)
    change = home.changes_since(entry.revision)
    entry.apply(home.revision, entry.with_change(change), 0, NO_OUTAGE)
    assert entry.rows == home.rows
    assert entry.digest == home.digest


def sync_entry(home, entry):
    """Run one report of an entry and apply the response of the home."""
    known = entry.delta_base
    if entry.digest == home.digest:
        return
    if not known:
        rows = list(home.rows.values())
        entry.apply(home.revision, rows, 0, NO_OUTAGE)
        return
    rows = entry.with_change(home.changes_since(known))
    entry.apply(home.revision, rows, 0, NO_OUTAGE)
    entry.check_digest(home.digest)


def test_entry_drops_row_retained_after_outage():
    """Guard against an ended upstream that an entry keeps serving.

    The home sees the end before the entry's own listing does, and the entry
    retains the row because of an outage. No later delta removed it, and the
    upstream still received work five seconds after it had left.
    """
    home, entry = Directory(), Directory()
    for node in (home, entry):
        node.apply(1, ROWS, 0, NO_OUTAGE)
    home.apply(5, ROWS[1:], 1, NO_OUTAGE)
    entry.apply(6, ROWS[1:], 1.2, 1.1)
    assert 'u-0' in entry.rows
    home.apply(8, ROWS[1:], 1.6, NO_OUTAGE)
    sync_entry(home, entry)
    assert 'u-0' not in entry.rows


@given(
    LISTINGS,
    st.lists(st.booleans(), min_size=12, max_size=12),
    st.lists(st.sampled_from(['', 'reads', 'late']), min_size=12, max_size=12),
)
def test_entry_converges_to_rows_of_home(listings, outages, entry_reads):
    """Test that both agree within two reports, whatever rows they retained."""
    home, entry = Directory(), Directory()
    for number, states in enumerate(listings):
        now = 10 * number
        outage = now - 1 if outages[number] else NO_OUTAGE
        home.apply(2 * number + 1, listed(states), now, outage)
        if entry_reads[number]:
            late = entry_reads[number] == 'late'
            entry.apply(
                2 * number + 1 + late,
                listed(states),
                now,
                now - 1 if late else NO_OUTAGE,
            )
    final = 2 * len(listings) + 5
    home.apply(final, listed(listings[-1]), 10 * len(listings), NO_OUTAGE)
    sync_entry(home, entry)
    sync_entry(home, entry)
    assert entry.rows.keys() <= home.rows.keys()
    assert all(home.rows[key] == row for key, row in entry.rows.items())


def test_delta_holds_only_changed_rows():
    home = Directory()
    home.apply(1, ROWS, 0, NO_OUTAGE)
    leaving = replace(ROWS[1], leaving=True)
    home.apply(7, [leaving, *ROWS[2:]], 0, NO_OUTAGE)
    change = home.changes_since(1)
    assert change.rows == (leaving,)
    assert change.removed == ('u-0',)
    assert not home.changes_since(7).rows
