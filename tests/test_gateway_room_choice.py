"""Send to an upstream with room where the one that knows a prompt is full."""

import pytest
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.loads import Loads
from spanfall_core.gateway.known.prefixes import PromptPart
from spanfall_core.gateway.routing.balance import PromptHistory, choose
from spanfall_core.gateway.routing.estimates import RoutingRequest
from spanfall_core.gateway.routing.grants import (
    EntryLoad,
    FleetLoads,
    GrantBook,
)
from spanfall_core.gateway.routing.room_choice import choose_with_room

SLOTS = 8
UPSTREAMS = [
    ListedUpstream(name, 'llm', '', 'north', slots=SLOTS)
    for name in ('holder', 'other')
]
HOLDER, OTHER = UPSTREAMS


@pytest.mark.parametrize(
    ('running', 'with_room', 'chosen'),
    [
        (SLOTS, [OTHER], OTHER),
        (SLOTS, [], HOLDER),
        (SLOTS - 1, [OTHER], HOLDER),
    ],
)
def test_full_holder_of_a_long_prompt(running, with_room, chosen):
    """Callers of one long shared prompt ask for more than one engine runs.

    Reading the prompt again elsewhere takes longer than the estimated wait, but
    whoever waits at the engine can't be ordered among those that compete.
    """
    parts = (PromptPart('manual', 40_000), PromptPart('own', 10))
    request = RoutingRequest('a', 'north', parts, 40_010)
    history = PromptHistory()
    history.prefixes.record('holder', parts)
    book = GrantBook()
    book.apply_report('entry', EntryLoad({'holder': running}), 0)
    loads = FleetLoads(book, Loads())

    def choose_among(rows):
        return choose(rows, request, loads, history, 0)

    assert choose_among(UPSTREAMS).upstream is HOLDER
    found = choose_with_room(choose_among, UPSTREAMS, with_room, loads)
    assert found.upstream is chosen
