"""Hold requests back where ends of upstreams show late, and refuse none.

Lists are plain rows with a time, so a day of heartbeats takes milliseconds.
"""

from dataclasses import dataclass, field
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from spanfall_core.gateway.crashes.crash_signs import (
    LONGEST_DOUBT,
    Settled,
    listed_seconds,
    settle,
)
from spanfall_core.gateway.crashes.crashes import CrashTable, Doubt, Standing
from spanfall_core.gateway.known.directory import Directory
from spanfall_core.gateway.known.listed import ListedUpstream

HEARTBEAT = 1.2
NO_OUTAGE = float('-inf')
CAUSE = 'cause'


def upstream(name, address=None, **fields):
    """Return a row of the list."""
    return ListedUpstream(
        name, 's', address or f'{name}:1', 'north', 4, **fields
    )


def listing(rows, revision=1, confirmed_at=0):
    """Return what a node knows that has read this list at a time."""
    directory = Directory()
    directory.apply(revision, rows, confirmed_at, NO_OUTAGE)
    directory.mark_confirmed(confirmed_at)
    return directory


def doubted(*names, since=0, is_strong=True):
    """Return doubts of some upstreams."""
    return {name: Doubt(since, is_strong) for name in names}


def test_an_entry_that_went_shows_an_end():
    directory = listing([upstream('u-1')], confirmed_at=1)
    found = settle(doubted('u-1', 'u-2'), directory, HEARTBEAT, 1)
    assert found == Settled(ended=('u-2',))


def test_an_older_list_tells_nothing():
    directory = listing([upstream('u-1')], confirmed_at=1)
    found = settle(doubted('u-2', since=2), directory, HEARTBEAT, 3)
    assert found == Settled()


def test_another_one_at_its_address_shows_an_end():
    rows = [upstream('u-1', 'a:1'), upstream('u-2', 'a:1')]
    found = settle(doubted('u-1'), listing(rows, confirmed_at=1), HEARTBEAT, 1)
    assert found == Settled(ended=('u-1',))


@pytest.mark.parametrize('heartbeat', (0.4, 1.2, 3.0))
def test_an_entry_that_stays_shows_a_life(heartbeat):
    rows = [upstream('u-1')]
    late = listed_seconds(heartbeat)
    for confirmed_at, found in ((late - 0.1, Settled()), (late, None)):
        expected = found or Settled(living=('u-1',))
        directory = listing(rows, confirmed_at=confirmed_at)
        assert settle(doubted('u-1'), directory, heartbeat, late) == expected


def test_an_upstream_that_begins_to_leave_lives():
    directory = listing([upstream('u-1', leaving=True)], confirmed_at=1)
    found = settle(doubted('u-1'), directory, HEARTBEAT, 1)
    assert found == Settled(living=('u-1',))


def test_a_doubt_ends_though_the_store_stays_away():
    directory = listing([upstream('u-1')], confirmed_at=0)
    found = settle(doubted('u-1'), directory, HEARTBEAT, LONGEST_DOUBT)
    assert found == Settled(living=('u-1',))


def broken_at(table, *names, is_strong=True, identity=CAUSE):
    """Note that sends of a request broke at some upstreams."""
    for name in names:
        table.note_doubt(identity, name, 0, is_strong=is_strong)


def test_doubts_hold_and_ends_convict():
    table = CrashTable()
    broken_at(table, 'u-1', 'u-2')
    assert table.standing(CAUSE, 0) is Standing.SUSPECT
    broken_at(table, 'u-3')
    assert table.standing(CAUSE, 0) is Standing.HELD
    assert [table.confirm(name, 1) for name in ('u-1', 'u-2')] == [[], []]
    assert table.standing(CAUSE, 1) is Standing.HELD
    assert table.confirm('u-3', 1) == [CAUSE]
    assert table.standing(CAUSE, 1) is Standing.QUARANTINED


def test_an_upstream_that_lives_absolves():
    table = CrashTable()
    broken_at(table, 'u-1', 'u-2', 'u-3')
    table.absolve('u-2')
    assert table.standing(CAUSE, 0) is Standing.SUSPECT
    table.absolve('u-1')
    assert table.standing(CAUSE, 0) is Standing.WATCHED
    table.absolve('u-3')
    assert table.standing(CAUSE, 0) is Standing.FREE


def test_weak_signs_count_from_the_second_on():
    """A reset or garbled answer looks so; a quick restart does too."""
    table = CrashTable()
    expected = (
        Standing.FREE,
        Standing.WATCHED,
        Standing.SUSPECT,
        Standing.HELD,
    )
    for number, standing in enumerate(expected):
        broken_at(table, f'u-{number}', is_strong=False)
        assert table.standing(CAUSE, 0) is standing


def test_another_trial_tells_whose_ends_they_are():
    """Two requests ran at all that ended; neither is refused for that."""
    table = CrashTable()
    names = ('u-1', 'u-2', 'u-3')
    for identity in (CAUSE, 'beside'):
        broken_at(table, *names, is_strong=False, identity=identity)
    assert not any(table.confirm(name, 1) for name in names)
    for identity in (CAUSE, 'beside'):
        assert table.standing(identity, 1) is Standing.SUSPECT
    assert table.note_end(CAUSE, 'u-4', 2)
    assert table.standing('beside', 2) is Standing.FREE


@dataclass
class Course:
    """Let sends of some requests break, and lists settle what is open."""

    luck: Random
    table: CrashTable = field(default_factory=CrashTable)
    ended: set[str] = field(default_factory=set)
    broken: dict[str, set[str]] = field(default_factory=dict)

    def step(self, number, sign):
        """Let one send break, or one upstream show that it lives."""
        identity = self.luck.choice(('a', 'b', 'c'))
        lifetime = f'u-{self.luck.randrange(number + 1)}'
        if sign == 'lives':
            if lifetime in self.table.doubts:
                self.table.absolve(lifetime)
            return
        self.broken.setdefault(identity, set()).add(lifetime)
        if sign == 'ended':
            self.ended.add(lifetime)
            self.table.note_end(identity, lifetime, 0)
        else:
            is_strong = sign == 'strong'
            self.table.note_doubt(identity, lifetime, 0, is_strong=is_strong)

    def settle_one(self):
        """Let the list show now and then that one has ended."""
        if self.luck.random() < 0.2 and self.table.doubts:
            over = self.luck.choice(sorted(self.table.doubts))
            self.ended.add(over)
            self.table.confirm(over, 0)


SIGNS = ('ended', 'strong', 'weak', 'lives')


@given(st.integers(0, 2**32), st.lists(st.sampled_from(SIGNS), max_size=40))
@settings(max_examples=300, deadline=None)
def test_three_certain_ends_and_no_less_convict(seed, signs):
    course = Course(Random(seed))
    for number, sign in enumerate(signs):
        course.step(number, sign)
        course.settle_one()
        for refused in course.table.quarantined:
            assert len(course.broken[refused] & course.ended) >= 3
    assert not course.table.doubts.keys() & course.ended
