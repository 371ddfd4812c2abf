"""Tell entries what of the list of upstreams has changed."""

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
#: For each row: not listed, listed, leaving.
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
    """An entry that missed some listings follows by what changed since."""
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
    """Let an entry report and learn what the home tells it."""
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
    """The home has seen the end before the entry's own listing.

    The entry kept it as lapsed; no change since then removed it, and five
    seconds after its leaving it still got work.
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
    """Both may keep what lapsed; two reports later they know the same."""
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
