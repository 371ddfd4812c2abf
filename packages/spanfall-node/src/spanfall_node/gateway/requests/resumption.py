"""Read what a caller states about a stream that it resumes."""

from dataclasses import dataclass

from spanfall_core.gateway.known.configuration import Route, RouteKind

from spanfall_node.gateway.net.ports import HeaderNames
from spanfall_node.gateway.requests.caller_request import CallerRequest

#: Timeouts of a route for which a caller waits at most, over all attempts.
MAX_PATIENCE_TIMEOUTS = 2
#: Seconds by which a caller's last attempt may arrive after that.
ARRIVAL_MARGIN_SECONDS = 2.0
#: Maximum length of the attempt id that a caller names; a longer one is
#: treated as missing.
MAX_ATTEMPT_ID_CHARS = 128


@dataclass(frozen=True, slots=True)
class Resumption:
    """Hold the attempt that began a stream and the last event received."""

    #: Empty if the caller names none.
    first_attempt: str
    last_event_id: str


def read_resumption(
    req: CallerRequest, names: HeaderNames, route: Route
) -> Resumption | None:
    """Return what a request states about a stream to resume, if it does."""
    if route.kind is not RouteKind.STREAM:
        return None
    first_attempt = req.header(names.first_attempt)
    last_event_id = req.header(names.last_event_id)
    if not first_attempt and not last_event_id:
        return None
    if len(first_attempt) > MAX_ATTEMPT_ID_CHARS:
        first_attempt = ''
    return Resumption(first_attempt, last_event_id)


def max_stream_age(route: Route) -> float:
    """Return for how many seconds after its begin a stream may be resumed."""
    return MAX_PATIENCE_TIMEOUTS * route.timeout + ARRIVAL_MARGIN_SECONDS


def resumable_seconds(route: Route, stated_patience: float | None) -> float:
    """Return for how long the caller of a request may resume its stream.

    ``stated_patience`` holds the seconds for which the caller waits in all, if
    it states them.
    """
    longest = max_stream_age(route)
    if stated_patience is None:
        return longest
    return min(longest, stated_patience + ARRIVAL_MARGIN_SECONDS)
