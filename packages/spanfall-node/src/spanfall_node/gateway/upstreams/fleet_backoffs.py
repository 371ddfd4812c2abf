"""Tell the home which upstreams asked for a back-off, where requests compete.

An upstream asks the entry that it answers, but as it has no room, a request of
another entry would be sent there in vain too. All times are in seconds.
"""

from itertools import islice

from spanfall_core.gateway.known.lifetimes import Lifetime

from spanfall_node.gateway.tables.scheduling import Feature
from spanfall_node.gateway.tables.state import GatewayState

#: Maximum number of back-offs in one message, the newest first; the others
#: follow with the next one.
MAX_REPORTED_BACKOFFS = 16

#: Seconds for which upstreams accept nothing more.
SecondsByLifetime = dict[Lifetime, float]


def note_backoff(state: GatewayState, lifetime: Lifetime, now: float) -> None:
    """Count a back-off as the home, or keep it for the next message."""
    if not _is_competed_for(state, lifetime):
        return
    if state.tenure is None:
        state.words.unreported_backoffs[lifetime] = None
        return
    seconds = _seconds_left(state, lifetime, now)
    merge_backoffs(state, {lifetime: seconds}, now)


def note_all_backoffs(state: GatewayState, now: float) -> None:
    """Keep all back-offs for the first message to a new home."""
    for lifetime in state.words.backoffs.active(now):
        note_backoff(state, lifetime, now)


def take_backoffs(state: GatewayState, now: float) -> SecondsByLifetime:
    """Return the back-offs for the next message; they count as sent."""
    unreported = state.words.unreported_backoffs
    taken = tuple(islice(reversed(unreported), MAX_REPORTED_BACKOFFS))
    for lifetime in taken:
        unreported.pop(lifetime)
    left = {one: _seconds_left(state, one, now) for one in taken}
    return {one: seconds for one, seconds in left.items() if seconds > 0}


def merge_backoffs(
    state: GatewayState, backoffs: SecondsByLifetime, now: float
) -> None:
    """Count the back-offs that an entry reports, as the home."""
    for lifetime, seconds in backoffs.items():
        if _is_competed_for(state, lifetime):
            state.words.fleet_backoffs.record(lifetime, seconds, now)


def _is_competed_for(state: GatewayState, lifetime: Lifetime) -> bool:
    row = state.directory.rows.get(lifetime)
    return row is not None and state.scheduling.is_on(
        Feature.CONTENTION, row.service
    )


def _seconds_left(state: GatewayState, lifetime: Lifetime, now: float) -> float:
    backoffs = state.words.backoffs
    return backoffs.seconds_until_first_end((lifetime,), now) or 0
