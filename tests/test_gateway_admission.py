"""Wait a moment for what is about to come, before a request is refused."""

from itertools import repeat
from types import SimpleNamespace

import pytest
from spanfall_core.reasons import RefusalReason
from spanfall_node.gateway.callers import callers as module
from spanfall_node.gateway.callers.callers import MOST_ADMIT_SECONDS, Callers
from spanfall_node.gateway.requests.refusals import RefusedError
from support import run_async

WORK = object()
#: What a look at the clock adds, as if the wait had taken it.
STEP = 0.03


def admit_after(monkeypatch, refusals, *, may_pass):
    """Refuse a request so many times, then admit it.

    Return what came of it and how often it was tried.
    """
    times = iter(range(1000))
    left = list(repeat(may_pass, refusals))
    tries = []

    def admit(*_):
        tries.append(1)
        if left:
            refused = RefusedError(
                503,
                RefusalReason.NODE_NOT_READY,
                may_pass=left.pop(),
            )
            raise refused
        return WORK

    monkeypatch.setattr(module, 'admit', admit)
    timers = SimpleNamespace(now=lambda: next(times) * STEP)
    entry = Callers(SimpleNamespace(timers=timers), None, None)
    outcome = []

    async def main():
        try:
            outcome.append(await entry._admit(None, b'', 0))
        except RefusedError as exc:
            outcome.append(exc.reason)

    run_async(main)
    return outcome[0], len(tries)


@pytest.mark.parametrize('refusals', [0, 1, 3])
def test_a_starting_node_answers_who_waits(monkeypatch, refusals):
    """Callers come back in the moment in which a node listens again.

    The first read of the configuration takes 20 ms, the home's first table
    another 100 ms; a refused caller comes back later than any target.
    """
    outcome = admit_after(monkeypatch, refusals, may_pass=True)
    assert outcome == (WORK, refusals + 1)


def test_the_wait_has_a_bound(monkeypatch):
    reason, tries = admit_after(monkeypatch, 50, may_pass=True)
    assert reason is RefusalReason.NODE_NOT_READY
    assert tries == MOST_ADMIT_SECONDS // STEP + 1


def test_what_will_not_pass_is_refused_at_once(monkeypatch):
    reason, tries = admit_after(monkeypatch, 50, may_pass=False)
    assert (reason, tries) == (RefusalReason.NODE_NOT_READY, 1)
