"""Test what is concluded from calls to the store that failed."""

from spanfall_core.gateway.known.store_outages import (
    LAPSE_HEARTBEATS,
    NEVER,
    StoreOutages,
)
from spanfall_node.gateway.home.home_pace import OUTAGE_LOOKUP_PERIOD
from spanfall_node.gateway.store.store_client import (
    CALL_TIMEOUT_SECONDS,
    FAILURE_MEMORY_SECONDS,
    MAX_OUTAGE_READ_PERIOD,
)

HEARTBEAT = 1.2


def play(*events):
    """Return the state after answers ('a') and failures ('f') at times."""
    outages = StoreOutages(HEARTBEAT)
    for kind, at in events:
        if kind == 'f':
            outages.record_failure(at)
        else:
            outages.record_answer(at)
    return outages


def test_answers_to_others_show_no_outage():
    steps = [('a', at / 2) for at in range(20)]
    failures = [('f', at / 2 + 0.1) for at in range(20)]
    pairs = zip(steps, failures, strict=True)
    events = [event for pair in pairs for event in pair]
    assert play(*events).ended_at == NEVER


def test_outage_ends_with_first_answer_to_any():
    assert play(('a', 0), ('f', 1), ('f', 3), ('a', 4)).ended_at == 4


def test_outage_too_short_for_a_lapse():
    short = HEARTBEAT * LAPSE_HEARTBEATS - 0.1
    assert play(('a', 0), ('f', 1), ('a', short)).ended_at == NEVER


def test_silence_without_a_failure_is_no_outage():
    assert play(('a', 0), ('a', 60)).ended_at == NEVER


def test_early_answer_heard_late_is_ignored():
    outages = play(('a', 0), ('f', 1), ('a', 4), ('a', 2))
    assert (outages.answered_at, outages.ended_at) == (4, 4)


def test_a_failure_is_forgotten():
    outages = play(('a', 0), ('f', 1))
    assert outages.is_failing(1.1, FAILURE_MEMORY_SECONDS)
    assert not outages.is_failing(
        1.1 + FAILURE_MEMORY_SECONDS, FAILURE_MEMORY_SECONDS
    )


def test_failure_is_known_until_the_next_call():
    pause = max(MAX_OUTAGE_READ_PERIOD, OUTAGE_LOOKUP_PERIOD)
    assert FAILURE_MEMORY_SECONDS >= pause + CALL_TIMEOUT_SECONDS


def test_a_restore_counts_as_an_outage():
    outages = play(('a', 0))
    outages.record_restore(1)
    assert outages.ended_at == 1
