"""Choose an upstream with room where the preferred one is full.

While requests compete for a service, those that wait do so at the home, where
they can be ordered. One that waits at an engine only saves reading its prompt
again, and leaves a place elsewhere unused.
"""

from collections.abc import Callable, Iterable, Sequence
from itertools import islice

from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.routing.balance import Choice
from spanfall_core.gateway.routing.estimates import UpstreamLoads

#: Maximum number of upstreams with room that are estimated, so that a decision
#: stays short in a large service.
MAX_ESTIMATED = 16

#: Choose one of some upstreams, if any is eligible.
ChooseAmong = Callable[[Sequence[ListedUpstream]], Choice | None]


def choose_with_room(
    choose_among: ChooseAmong,
    candidates: Sequence[ListedUpstream],
    with_room: Iterable[ListedUpstream],
    loads: UpstreamLoads,
) -> Choice | None:
    """Choose among all candidates, or those with room if that one is full.

    If none with room is eligible, the first choice stays.
    """
    choice = choose_among(candidates)
    if choice is None:
        return None
    upstream = choice.upstream
    if loads.running_at(upstream.lifetime) < upstream.slots:
        return choice
    return choose_among(tuple(islice(with_room, MAX_ESTIMATED))) or choice
