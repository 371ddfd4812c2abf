"""Classify the outcome of a failed send and decide the next step.

This is the only place that maps points of failure to whether the request may
have run, and thus to the answers that are correct.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum, unique

from spanfall_core.gateway.known.configuration import Route, RouteKind
from spanfall_core.reasons import RetryReason


@unique
class SendOutcome(StrEnum):
    """Name the outcome of a send that failed before any part of an answer."""

    #: No connection, so nothing was sent.
    NOT_SENT = 'not-sent'
    #: The upstream answered that it did not run the request.
    REFUSED = 'refused'
    #: Another lifetime answers at the address; the request did not run.
    OTHER_LIFETIME = 'other-lifetime'
    #: A complete answer of the upstream with a status of 500 or more.
    FAILED = 'failed'
    #: A reset, a close, no data or an invalid answer, after the send.
    BROKEN = 'broken'
    #: No answer before the deadline.
    TIMED_OUT = 'timed-out'


@unique
class NextStep(StrEnum):
    """Name the action of the entry after a failed send."""

    SEND_AGAIN = 'send-again'
    ANSWER_NOT_RUN = 'answer-not-run'
    ANSWER_UNKNOWN = 'answer-unknown'
    RELAY = 'relay'


#: Outcomes that prove that the request did not run.
NOT_RUN_OUTCOMES = frozenset(
    (SendOutcome.NOT_SENT, SendOutcome.REFUSED, SendOutcome.OTHER_LIFETIME),
)

RETRY_REASONS = {
    SendOutcome.NOT_SENT: RetryReason.CONNECT_FAILED,
    SendOutcome.REFUSED: RetryReason.UPSTREAM_REFUSED,
    SendOutcome.OTHER_LIFETIME: RetryReason.UPSTREAM_REFUSED,
    SendOutcome.FAILED: RetryReason.UPSTREAM_ERROR,
    SendOutcome.BROKEN: RetryReason.STREAM_BROKEN,
    SendOutcome.TIMED_OUT: RetryReason.UPSTREAM_TIMEOUT,
}

#: Maximum number of sends of one request, whatever their outcomes.
MAX_SENDS = 4
#: Maximum number of upstreams that one request tries to connect to before its
#: first send. Such tries are not limited by the retry budget: no upstream
#: receives a request twice.
MAX_UNSENT = 8


@dataclass(slots=True)
class SendState:
    """Track the sends of one request and what their outcomes prove."""

    sends: int = 0
    #: Number of upstreams that may have run the request.
    may_have_run: int = 0

    @property
    def proven_not_run(self) -> bool:
        """Return whether no upstream can have run the request."""
        return not self.may_have_run


def next_step(
    outcome: SendOutcome,
    route: Route,
    state: SendState,
    take_retry: Callable[[], bool],
) -> NextStep:
    """Decide the next step after a failed send.

    ``take_retry`` takes a retry from the budget and returns whether there was
    one and another upstream is left. It is called only if the route allows
    another send.
    """
    if outcome not in NOT_RUN_OUTCOMES:
        state.may_have_run += 1
    if _may_retry(route, state) and take_retry():
        return NextStep.SEND_AGAIN
    if state.proven_not_run:
        return NextStep.ANSWER_NOT_RUN
    if outcome is SendOutcome.FAILED:
        return NextStep.RELAY
    return NextStep.ANSWER_UNKNOWN


def _may_retry(route: Route, state: SendState) -> bool:
    if state.sends >= MAX_SENDS:
        return False
    if state.proven_not_run:
        return True
    if state.may_have_run >= route.max_upstreams:
        return False
    return may_run_again(route)


def may_run_again(route: Route) -> bool:
    """Return whether requests of a route may run more than once."""
    if route.kind is RouteKind.STREAM:
        return route.resumable
    return route.kind is RouteKind.IDEMPOTENT
