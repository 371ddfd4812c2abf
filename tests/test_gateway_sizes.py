"""Route long prompts to other upstreams than short ones."""

from hypothesis import given
from hypothesis import strategies as st
from spanfall_core.gateway.known.directory import Directory
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.loads import Loads
from spanfall_core.gateway.routing.balance import choose
from spanfall_core.gateway.routing.estimates import RoutingRequest
from spanfall_core.gateway.routing.prompt_history import PromptHistory
from spanfall_core.gateway.routing.sizes import PromptSizes

SHORT = 800
LONG = 40_000
UPSTREAMS = [
    ListedUpstream(f'u-{number}', 'llm', '', 'north', slots=16)
    for number in range(10)
]


def seen_sizes():
    """Return sizes after short and long prompts of equal total work."""
    sizes = PromptSizes()
    for _ in range(100):
        sizes.record_prompt(LONG, 0)
    for _ in range(100 * 60):
        sizes.record_prompt(SHORT, 0)
    return sizes


@given(st.lists(st.integers(1, 200_000), max_size=50), st.integers(1, 100))
def test_positions_grow_with_length(lengths, seconds):
    sizes = PromptSizes()
    for number, length in enumerate(lengths):
        sizes.record_prompt(length, number * seconds)
    positions = [
        sizes.position(tokens) for tokens in (0, 500, 5000, 50_000, 10**6)
    ]
    assert positions == sorted(positions)
    assert positions[0] > 0
    assert positions[-1] < 1


def test_each_length_gets_engines_by_its_work():
    sizes = seen_sizes()
    assert 0.2 < sizes.position(SHORT) < 0.35
    assert 0.65 < sizes.position(LONG) < 0.8


def test_old_lengths_lose_weight():
    sizes = seen_sizes()
    before = sizes.position(SHORT)
    for now in range(1, 100):
        sizes.record_prompt(SHORT, now)
    assert sizes.position(SHORT) > before


def test_short_prompts_keep_away_from_long_ones():
    """Among idle upstreams, only the length decides."""
    prompts = PromptHistory(sizes=seen_sizes())
    chosen = {
        tokens: {
            choose(
                UPSTREAMS,
                RoutingRequest(f'a{number}', 'north', prompt_tokens=tokens),
                Loads(),
                prompts,
                0,
            ).upstream.upstream_id
            for number in range(50)
        }
        for tokens in (SHORT, LONG)
    }
    assert not chosen[SHORT] & chosen[LONG]


def test_all_nodes_have_the_same_order():
    orders = []
    for rows in (UPSTREAMS, list(reversed(UPSTREAMS))):
        directory = Directory()
        directory.apply(1, rows, 0, 0)
        orders.append([row.upstream_id for row in directory.serving('llm')])
    assert orders[0] == orders[1]
