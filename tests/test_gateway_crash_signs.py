"""Hold requests back while crashes are only suspected, and refuse none.

Lists are plain rows with a time, so a day of heartbeats takes milliseconds.
"""

from dataclasses import dataclass, field
from random import Random

import pytest
from crash_evidence import ended, suspected
from hypothesis import given, settings
from hypothesis import strategies as st
from spanfall_core.gateway.crashes.crash_signs import (
    MAX_SUSPECTED_SECONDS,
    SettledCrashes,
    max_listing_delay,
    settle,
)
from spanfall_core.gateway.crashes.crashes import CrashTable
from spanfall_core.gateway.crashes.judgement import SuspectedCrash
from spanfall_core.gateway.crashes.standings import Standing
from spanfall_core.gateway.known.directory import Directory
from spanfall_core.gateway.known.listed import ListedUpstream

HEARTBEAT = 1.2
NO_OUTAGE = float('-inf')
CAUSE = 'cause'


def upstream(name, address=None, **fields):
    """Return a row of the platform's list."""
    return ListedUpstream(
        name, 's', address or f'{name}:1', 'north', 4, **fields
    )


def listing(rows, revision=1, confirmed_at=0):
    """Return the directory of a node that read this list at a time."""
    directory = Directory()
    directory.apply(revision, rows, confirmed_at, NO_OUTAGE)
    directory.mark_confirmed(confirmed_at)
    return directory


def suspect_all(*names, since=0, is_strong=True):
    """Return suspected crashes of some upstreams."""
    return {name: SuspectedCrash(since, is_strong) for name in names}


def test_removed_row_confirms_a_crash():
    directory = listing([upstream('u-1')], confirmed_at=1)
    found = settle(suspect_all('u-1', 'u-2'), directory, HEARTBEAT, 1)
    assert found == SettledCrashes(ended=('u-2',))


def test_older_list_proves_nothing():
    directory = listing([upstream('u-1')], confirmed_at=1)
    found = settle(suspect_all('u-2', since=2), directory, HEARTBEAT, 3)
    assert found == SettledCrashes()


def test_reused_address_confirms_a_crash():
    rows = [upstream('u-1', 'a:1'), upstream('u-2', 'a:1')]
    found = settle(
        suspect_all('u-1'), listing(rows, confirmed_at=1), HEARTBEAT, 1
    )
    assert found == SettledCrashes(ended=('u-1',))


@pytest.mark.parametrize('heartbeat', (0.4, 1.2, 3.0))
def test_remaining_row_proves_upstream_alive(heartbeat):
    rows = [upstream('u-1')]
    late = max_listing_delay(heartbeat)
    for confirmed_at, found in ((late - 0.1, SettledCrashes()), (late, None)):
        expected = found or SettledCrashes(alive=('u-1',))
        directory = listing(rows, confirmed_at=confirmed_at)
        assert (
            settle(suspect_all('u-1'), directory, heartbeat, late) == expected
        )


def test_leaving_upstream_is_alive():
    directory = listing([upstream('u-1', leaving=True)], confirmed_at=1)
    found = settle(suspect_all('u-1'), directory, HEARTBEAT, 1)
    assert found == SettledCrashes(alive=('u-1',))


def test_suspicion_expires_while_store_is_away():
    directory = listing([upstream('u-1')], confirmed_at=0)
    found = settle(
        suspect_all('u-1'), directory, HEARTBEAT, MAX_SUSPECTED_SECONDS
    )
    assert found == SettledCrashes(alive=('u-1',))


def record_suspected(table, *names, is_strong=True, identity=CAUSE):
    """Record suspected crashes of some upstreams under a request."""
    for name in names:
        table.record(suspected(identity, name, is_strong=is_strong), 0)


def test_suspected_crashes_hold_a_request():
    table = CrashTable()
    record_suspected(table, 'u-1', 'u-2')
    assert table.standing((CAUSE,), 0) is Standing.SUSPECT
    record_suspected(table, 'u-3')
    assert table.standing((CAUSE,), 0) is Standing.HELD
    assert [table.confirm_crash(name, 1) for name in ('u-1', 'u-2')] == [[], []]
    assert table.standing((CAUSE,), 1) is Standing.HELD
    assert table.confirm_crash('u-3', 1) == [CAUSE]
    assert table.standing((CAUSE,), 1) is Standing.QUARANTINED


def test_upstream_found_alive_clears_suspicion():
    table = CrashTable()
    record_suspected(table, 'u-1', 'u-2', 'u-3')
    table.record_alive('u-2')
    assert table.standing((CAUSE,), 0) is Standing.SUSPECT
    table.record_alive('u-1')
    assert table.standing((CAUSE,), 0) is Standing.WATCHED
    table.record_alive('u-3')
    assert table.standing((CAUSE,), 0) is Standing.FREE


# Guards against requests that are refused for ends of upstreams that were only
# cut from the store for a while.
def test_upstream_that_returns_has_not_crashed():
    table = CrashTable()
    record_suspected(table, 'u-1', 'u-2', 'u-3')
    assert not table.confirm_crash('u-1', 1)
    assert not table.confirm_crash('u-2', 1)
    table.record_alive('u-2')
    assert not table.confirm_crash('u-3', 2)
    assert table.standing((CAUSE,), 2) is Standing.SUSPECT
    table.record(suspected(CAUSE, 'u-2', is_strong=False), 3)
    assert not table.evidence.is_known_end('u-2')


def test_weak_suspicions_count_from_the_second_on():
    """The first weak suspicion does not count.

    A reset or an invalid answer causes one, as does a quick restart.
    """
    table = CrashTable()
    expected = (
        Standing.FREE,
        Standing.WATCHED,
        Standing.SUSPECT,
        Standing.HELD,
    )
    for number, standing in enumerate(expected):
        record_suspected(table, f'u-{number}', is_strong=False)
        assert table.standing((CAUSE,), 0) is standing


def test_next_trial_decides_between_two_requests():
    """Two requests ran at all crashed upstreams: neither is quarantined yet."""
    table = CrashTable()
    names = ('u-1', 'u-2', 'u-3')
    for identity in (CAUSE, 'beside'):
        record_suspected(table, *names, is_strong=False, identity=identity)
    assert not any(table.confirm_crash(name, 1) for name in names)
    for identity in (CAUSE, 'beside'):
        assert table.standing((identity,), 1) is Standing.SUSPECT
    assert table.record(ended(CAUSE, 'u-4'), 2)
    assert table.standing(('beside',), 2) is Standing.FREE


@dataclass
class Simulation:
    """Simulate broken sends of some requests and lists that settle them."""

    rng: Random
    table: CrashTable = field(default_factory=CrashTable)
    ended: set[str] = field(default_factory=set)
    broken: dict[str, set[str]] = field(default_factory=dict)

    def step(self, number, sign):
        """Break one send, or show that one upstream is alive."""
        identity = self.rng.choice(('a', 'b', 'c'))
        lifetime = f'u-{self.rng.randrange(number + 1)}'
        if sign == 'lives':
            if lifetime in self.table.evidence.suspected_crashes:
                self.table.record_alive(lifetime)
            return
        self.broken.setdefault(identity, set()).add(lifetime)
        if sign == 'ended':
            self.ended.add(lifetime)
            self.table.record(ended(identity, lifetime), 0)
        else:
            is_strong = sign == 'strong'
            run = suspected(identity, lifetime, is_strong=is_strong)
            self.table.record(run, 0)

    def settle_one(self):
        """Confirm one suspected crash in a fifth of the steps."""
        if self.rng.random() < 0.2 and self.table.evidence.suspected_crashes:
            over = self.rng.choice(
                sorted(self.table.evidence.suspected_crashes)
            )
            self.ended.add(over)
            self.table.confirm_crash(over, 0)


SIGNS = ('ended', 'strong', 'weak', 'lives')


@given(st.integers(0, 2**32), st.lists(st.sampled_from(SIGNS), max_size=40))
@settings(max_examples=300, deadline=None)
def test_only_three_confirmed_crashes_quarantine(seed, signs):
    simulation = Simulation(Random(seed))
    for number, sign in enumerate(signs):
        simulation.step(number, sign)
        simulation.settle_one()
        for refused in simulation.table.verdicts.rows:
            assert len(simulation.broken[refused] & simulation.ended) >= 3
    assert (
        not simulation.table.evidence.suspected_crashes.keys()
        & simulation.ended
    )
