"""Pass a large configuration on to hundreds of entries.

The load is that of an operator who adds 1,400 routes while 231 entries
report: each is told within a period of reports, over a small host's link.
"""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from spanfall_core.gateway.known.reporting import report_period
from spanfall_node.gateway.links.messages import ConfigurationPart
from spanfall_node.gateway.links.passing_on import (
    AHEAD_SECONDS,
    LINK_PART,
    MOST_BYTES,
    PassingOn,
    unpack,
)

ENTRIES = 231
#: Seconds within which a new version is due, less the home's own read.
DUE_SECONDS = 3.0
SOURCE = json.dumps(
    [
        {
            'name': f'route-{number}',
            'hostname': f'host-{number % 40}.example',
            'path_prefix': f'/p{number * 7919 % 100_000}/x/',
            'route_kind': 'streaming',
            'timeout_ms': 15000,
            'backends': [{'service': 'one', 'weight': 90}],
        }
        for number in range(1400)
    ],
).encode()


def pass_on(megabits, seconds):
    """Let all entries report; return when each was told, and the bytes."""
    home = PassingOn(megabits)
    period = report_period(ENTRIES)
    told = {}
    sent = 0
    steps = int(seconds / period * ENTRIES)
    for step in range(steps):
        entry = step % ENTRIES
        now = step * period / ENTRIES
        if entry in told:
            continue
        part = home.part(7, SOURCE, now)
        if part is not None:
            told[entry] = now
            sent += len(part.packed)
    return told, sent


@pytest.mark.parametrize('megabits', [100, 20])
def test_the_link_stays_free_for_answers(megabits):
    _, sent = pass_on(megabits, DUE_SECONDS)
    allowed = megabits * 125_000 * LINK_PART * (DUE_SECONDS + AHEAD_SECONDS)
    assert sent <= allowed + len(SOURCE)


def test_all_entries_are_told_in_time():
    told, _ = pass_on(100, DUE_SECONDS)
    assert len(told) == ENTRIES


def test_the_others_are_left_to_read_the_store():
    told, _ = pass_on(5, DUE_SECONDS)
    assert 0 < len(told) < ENTRIES


def test_what_is_passed_on_is_what_the_store_has():
    part = PassingOn(100).part(3, SOURCE, 0)
    assert (part.version, unpack(part)) == (3, SOURCE)
    assert len(part.packed) < len(SOURCE) / 10


@given(st.binary())
def test_bytes_that_were_not_packed(packed):
    with pytest.raises(ValueError, match='packed|cut off'):
        unpack(ConfigurationPart(1, packed))


def test_what_is_too_large_is_refused():
    part = PassingOn(100).part(1, bytes(MOST_BYTES + 1), 0)
    with pytest.raises(ValueError, match='too large'):
        unpack(part)
