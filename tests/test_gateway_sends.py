"""Decide by the outcome of a send, for each kind of route."""

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
    MAX_SENDS,
    NOT_RUN_OUTCOMES,
    NextStep,
    SendOutcome,
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
MAY_HAVE_RUN = frozenset(SendOutcome) - NOT_RUN_OUTCOMES


@pytest.mark.parametrize(
    ('kind', 'outcome'),
    tuple(product((ONCE, STREAM, AGAIN, RESUMABLE), sorted(NOT_RUN_OUTCOMES))),
)
def test_request_that_did_not_run_is_sent_again(kind, outcome):
    state = SendState(sends=1)
    assert next_step(outcome, kind, state, lambda: True) is NextStep.SEND_AGAIN
    left = next_step(outcome, kind, state, bool)
    assert left is NextStep.ANSWER_NOT_RUN


@pytest.mark.parametrize(
    ('kind', 'outcome'),
    tuple(product((ONCE, STREAM), sorted(MAY_HAVE_RUN))),
)
def test_possibly_run_request_is_not_repeated(kind, outcome):
    """It also takes no retry from the budget."""

    def take_retry():
        raise AssertionError('no retry is to be taken')

    step = next_step(outcome, kind, SendState(sends=1), take_retry)
    relayed = outcome is SendOutcome.FAILED
    expected = NextStep.RELAY if relayed else NextStep.ANSWER_UNKNOWN
    assert step is expected


@pytest.mark.parametrize('outcome', sorted(MAY_HAVE_RUN))
def test_retries_stay_within_the_route_limit(outcome):
    state = SendState(sends=1)
    steps = [next_step(outcome, AGAIN, state, lambda: True) for _ in range(2)]
    assert steps[0] is NextStep.SEND_AGAIN
    assert steps[1] is not NextStep.SEND_AGAIN


def test_later_refusal_does_not_prove_not_run():
    state = SendState(sends=1)
    next_step(SendOutcome.BROKEN, AGAIN, state, lambda: True)
    step = next_step(SendOutcome.REFUSED, AGAIN, state, bool)
    assert step is NextStep.ANSWER_UNKNOWN


def test_sends_are_bounded():
    state = SendState(sends=MAX_SENDS)
    step = next_step(SendOutcome.REFUSED, ONCE, state, lambda: True)
    assert step is NextStep.ANSWER_NOT_RUN


@given(
    st.sampled_from((ONCE, STREAM, AGAIN, RESUMABLE)),
    st.lists(
        st.sampled_from(list(SendOutcome)), min_size=1, max_size=MAX_SENDS
    ),
    st.integers(0, MAX_SENDS),
)
def test_answer_not_run_holds_for_all_sends(kind, outcomes, retries):
    """Its units are returned, so no send may have run the request."""
    left = iter(range(retries))
    state = SendState()

    def take_retry():
        return next(left, None) is not None

    for number, outcome in enumerate(outcomes, 1):
        state.sends = number
        step = next_step(outcome, kind, state, take_retry)
        if step is NextStep.ANSWER_NOT_RUN:
            assert NOT_RUN_OUTCOMES.issuperset(outcomes[:number])
        if step is not NextStep.SEND_AGAIN:
            return
