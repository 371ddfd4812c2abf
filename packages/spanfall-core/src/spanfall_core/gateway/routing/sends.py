"""Classify the end of a send and decide what follows.

This is the one table of failure points: what an end says about whether the
request ran, and so which answers are true.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum, unique

from spanfall_core.gateway.known.configuration import Route, RouteKind
from spanfall_core.reasons import RetryReason


@unique
class SendOutcome(StrEnum):
    """Name how one send to an upstream ended before any answer part."""

    #: No connection, so nothing was sent.
    NOT_SENT = 'not-sent'
    #: The upstream says that it did not run the request.
    REFUSED = 'refused'
    #: Another lifetime has the address; nothing ran.
    OTHER_LIFETIME = 'other-lifetime'
    #: A whole answer of the upstream with a status of 500 or more.
    FAILED = 'failed'
    #: Reset, close, silence or bytes that are no answer, after the send.
    BROKEN = 'broken'
    #: No answer inside the time that was left.
    TIMED_OUT = 'timed-out'


@unique
class NextStep(StrEnum):
    """Name what the entry does after a failed send."""

    SEND_AGAIN = 'send-again'
    ANSWER_NOT_RUN = 'answer-not-run'
    ANSWER_UNKNOWN = 'answer-unknown'
    RELAY = 'relay'


#: Ends after which the request has certainly not run.
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

#: Most sends of one request, whatever their ends.
MAX_SENDS = 4


@dataclass(slots=True)
class SendState:
    """Hold what the sends of one request have proved so far."""

    sends: int = 0
    #: Upstreams that may have run the request.
    may_have_run: int = 0

    @property
    def proven_not_run(self) -> bool:
        """Tell whether no upstream can have run the request."""
        return not self.may_have_run


def next_step(
    outcome: SendOutcome,
    route: Route,
    state: SendState,
    take_retry: Callable[[], bool],
) -> NextStep:
    """Decide what follows the end of a send.

    ``take_retry`` takes a retry from the budget if there is one and another
    upstream is left; it is asked only where another send is allowed.
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
    if route.kind is RouteKind.STREAM:
        return route.resumable
    return route.kind is RouteKind.IDEMPOTENT
