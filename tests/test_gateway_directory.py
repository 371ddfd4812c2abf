"""Tell entries what of the list of upstreams has changed."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st
from spanfall_core.gateway.directory import Directory, ListedUpstream

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
def test_changes_lead_to_the_same_rows(listings, heard_until):
    """An entry that missed some listings follows by what changed since."""
    home, entry = Directory(), Directory()
    for number, states in enumerate(listings):
        home.apply(number + 1, listed(states), 0, NO_OUTAGE)
        if number <= heard_until:
            entry.apply(number + 1, listed(states), 0, NO_OUTAGE)
    change = home.changes_since(entry.revision)
    entry.apply(home.revision, entry.with_change(change), 0, NO_OUTAGE)
    assert entry.rows == home.rows
    assert entry.digest == home.digest


def test_only_what_changed_is_told():
    home = Directory()
    home.apply(1, ROWS, 0, NO_OUTAGE)
    leaving = replace(ROWS[1], leaving=True)
    home.apply(7, [leaving, *ROWS[2:]], 0, NO_OUTAGE)
    change = home.changes_since(1)
    assert change.rows == (leaving,)
    assert change.removed == ('u-0',)
    assert not home.changes_since(7).rows
