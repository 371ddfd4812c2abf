"""Test that a large configuration reaches hundreds of entries.

An operator adds 1,400 routes while 231 entries report. Each entry must receive
the configuration within a report period over a small host's link.
"""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from spanfall_core.gateway.known.reporting import report_period
from spanfall_node.gateway.links.messages import ConfigurationPart
from spanfall_node.gateway.links.passing_on import (
    BURST_SECONDS,
    LINK_FRACTION,
    MAX_UNPACKED_BYTES,
    ConfigurationSender,
    unpack,
)

ENTRIES = 231
#: Seconds within which a new version must arrive, less the home's own read.
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


def distribute(megabits, seconds):
    """Simulate reports of all entries.

    Return when each entry received the configuration, and the bytes sent.
    """
    home = ConfigurationSender(megabits)
    period = report_period(ENTRIES)
    received_at = {}
    sent = 0
    steps = int(seconds / period * ENTRIES)
    for step in range(steps):
        entry = step % ENTRIES
        now = step * period / ENTRIES
        if entry in received_at:
            continue
        part = home.part(7, SOURCE, now)
        if part is not None:
            received_at[entry] = now
            sent += len(part.packed)
    return received_at, sent


@pytest.mark.parametrize('megabits', [100, 20])
def test_the_link_stays_free_for_answers(megabits):
    _, sent = distribute(megabits, DUE_SECONDS)
    allowed = megabits * 125_000 * LINK_FRACTION * (DUE_SECONDS + BURST_SECONDS)
    assert sent <= allowed + len(SOURCE)


def test_all_entries_receive_it_in_time():
    received_at, _ = distribute(100, DUE_SECONDS)
    assert len(received_at) == ENTRIES


def test_a_slow_link_serves_some_entries_only():
    received_at, _ = distribute(5, DUE_SECONDS)
    assert 0 < len(received_at) < ENTRIES


def test_the_sent_configuration_is_the_stored_one():
    part = ConfigurationSender(100).part(3, SOURCE, 0)
    assert (part.version, unpack(part)) == (3, SOURCE)
    assert len(part.packed) < len(SOURCE) / 10


@given(st.binary())
def test_invalid_packed_bytes_are_refused(packed):
    with pytest.raises(ValueError, match='packed|cut off'):
        unpack(ConfigurationPart(1, packed))


def test_a_too_large_configuration_is_refused():
    part = ConfigurationSender(100).part(1, bytes(MAX_UNPACKED_BYTES + 1), 0)
    with pytest.raises(ValueError, match='too large'):
        unpack(part)
