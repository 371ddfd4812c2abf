"""Decide by what the end of a send proves, for each kind of route."""

from itertools import product

import pytest
from hypothesis import given
from hypothesis import strategies as st
from spanfall_core.gateway.known.configuration import (
    Route,
    RouteKind,
    ServiceShare,
)
from spanfall_core.gateway.routing.sends import (
    MOST_SENDS,
    NOT_RUN_ENDS,
    NextStep,
    SendEnd,
    SendState,
    next_step,
)


def route(kind, *, resumable=False, most=2):
    return Route(
        'r',
        'h',
        '/',
        kind,
        1,
        1,
        (ServiceShare('s', 1),),
        max_upstreams=most,
        resumable=resumable,
    )


ONCE = route(RouteKind.NON_IDEMPOTENT)
STREAM = route(RouteKind.STREAM)
AGAIN = route(RouteKind.IDEMPOTENT)
RESUMABLE = route(RouteKind.STREAM, resumable=True)
MAY_HAVE_RUN = frozenset(SendEnd) - NOT_RUN_ENDS


@pytest.mark.parametrize(
    ('kind', 'end'),
    tuple(product((ONCE, STREAM, AGAIN, RESUMABLE), sorted(NOT_RUN_ENDS))),
)
def test_what_did_not_run_is_sent_again(kind, end):
    state = SendState(sends=1)
    assert next_step(end, kind, state, lambda: True) is NextStep.SEND_AGAIN
    left = next_step(end, kind, state, bool)
    assert left is NextStep.ANSWER_NOT_RUN


@pytest.mark.parametrize(
    ('kind', 'end'),
    tuple(product((ONCE, STREAM), sorted(MAY_HAVE_RUN))),
)
def test_what_may_have_run_once_is_not_sent_again(kind, end):
    """Nor does it take a retry from those that may be sent again."""

    def take_retry():
        raise AssertionError('no retry is to be taken')

    step = next_step(end, kind, SendState(sends=1), take_retry)
    relayed = end is SendEnd.FAILED
    expected = NextStep.RELAY if relayed else NextStep.ANSWER_UNKNOWN
    assert step is expected


@pytest.mark.parametrize('end', sorted(MAY_HAVE_RUN))
def test_repeats_stay_within_the_routes_bound(end):
    state = SendState(sends=1)
    steps = [next_step(end, AGAIN, state, lambda: True) for _ in range(2)]
    assert steps[0] is NextStep.SEND_AGAIN
    assert steps[1] is not NextStep.SEND_AGAIN


def test_a_later_refusal_proves_nothing():
    state = SendState(sends=1)
    next_step(SendEnd.BROKEN, AGAIN, state, lambda: True)
    step = next_step(SendEnd.REFUSED, AGAIN, state, bool)
    assert step is NextStep.ANSWER_UNKNOWN


def test_sends_are_bounded():
    state = SendState(sends=MOST_SENDS)
    step = next_step(SendEnd.REFUSED, ONCE, state, lambda: True)
    assert step is NextStep.ANSWER_NOT_RUN


@given(
    st.sampled_from((ONCE, STREAM, AGAIN, RESUMABLE)),
    st.lists(st.sampled_from(list(SendEnd)), min_size=1, max_size=MOST_SENDS),
    st.integers(0, MOST_SENDS),
)
def test_not_run_is_true_of_all_sends(kind, ends, retries):
    """Units come back for it, so no send may have run the request."""
    left = iter(range(retries))
    state = SendState()

    def take_retry():
        return next(left, None) is not None

    for number, end in enumerate(ends, 1):
        state.sends = number
        step = next_step(end, kind, state, take_retry)
        if step is NextStep.ANSWER_NOT_RUN:
            assert NOT_RUN_ENDS.issuperset(ends[:number])
        if step is not NextStep.SEND_AGAIN:
            return
