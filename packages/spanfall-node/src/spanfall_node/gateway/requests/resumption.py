"""Read what a caller states about a stream that it resumes."""

from dataclasses import dataclass

from spanfall_core.gateway.known.configuration import Route, RouteKind

from spanfall_node.gateway.net.ports import HeaderNames
from spanfall_node.gateway.requests.caller_connection import CallerRequest

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
