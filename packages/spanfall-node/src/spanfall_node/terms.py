"""Read what a caller asks for in the headers of a request."""

from dataclasses import dataclass

from spanfall_api.problems import RefusedError
from spanfall_core.reasons import RefusalReason
from starlette.requests import Request

MILLISECONDS = 1000
#: Largest priority that a caller may ask for, either way.
MAX_PRIORITY = 100


@dataclass(frozen=True, slots=True)
class Terms:
    """Hold what the headers of a request ask for."""

    priority: int | None
    deadline: float | None
    key: str


def read_terms(req: Request) -> Terms:
    """Return the terms of a request, or raise RefusedError."""
    priority = read_number(req, 'spanfall-priority')
    deadline = read_number(req, 'spanfall-deadline-ms')
    if deadline is not None and deadline <= 0:
        raise RefusedError(RefusalReason.BAD_REQUEST, 'deadline is not over 0')
    if priority is not None and abs(priority) > MAX_PRIORITY:
        raise RefusedError(
            RefusalReason.BAD_REQUEST,
            f'priority is not within {MAX_PRIORITY}',
        )
    seconds = None if deadline is None else deadline / MILLISECONDS
    return Terms(priority, seconds, req.headers.get('idempotency-key', ''))


def read_number(req: Request, name: str) -> int | None:
    """Return a header as a whole number, or raise RefusedError."""
    text = req.headers.get(name)
    if text is None:
        return None
    try:
        return int(text)
    except ValueError as exc:
        raise RefusedError(
            RefusalReason.BAD_REQUEST,
            f'{name} is not a whole number',
        ) from exc
