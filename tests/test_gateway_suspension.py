"""Test that the time for which a host is suspended counts in every age.

If the gateway and its event loop read a clock that stops while the host is
suspended, a lease, a proof of freshness or a deadline appears younger than it
is by that time.
"""

import time

import anyio
import pytest
from spanfall_api.gateway_settings import GatewaySettings, Listen
from spanfall_node.gateway import program

SUSPENDED_SECONDS = 10.0
#: Timeout in seconds of a cancel scope entered before the suspension.
SCOPE_SECONDS = 5.0


@pytest.fixture(name='suspend')
def suspend_host(monkeypatch):
    """Advance the clocks that count a suspension, and no others."""
    skipped_seconds = []
    read = time.clock_gettime

    def read_clock(clock):
        counted = sum(skipped_seconds) if clock == time.CLOCK_BOOTTIME else 0
        return read(clock) + counted

    monkeypatch.setattr(time, 'clock_gettime', read_clock)
    return lambda: skipped_seconds.append(SUSPENDED_SECONDS)


def test_ages_and_scopes_count_a_suspension(suspend, monkeypatch, tmp_path):
    seen = []

    async def run(state, path):
        began_at = state.timers.now()
        scope = anyio.move_on_after(SCOPE_SECONDS)
        with scope:
            suspend()
            await anyio.sleep(2)
        seen.append((state.timers.now() - began_at, scope.cancelled_caught))

    monkeypatch.setattr(program, '_run', run)
    cfg = GatewaySettings(
        node='n-1',
        data_centre='north',
        platform='spanfall_standins.gateway.dialect',
        listen=Listen('127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'),
        store='127.0.0.1:4',
    )
    program.run_gateway(cfg, tmp_path)
    passed, is_ended = seen[0]
    assert SUSPENDED_SECONDS <= passed < SUSPENDED_SECONDS + SCOPE_SECONDS
    assert is_ended
