"""Rejected callers come back when told, and fill the room that there is then.

A service of ten places does 100 calls a second and is asked for 150.
"""

from collections import Counter
from dataclasses import dataclass, field, replace

import pytest
from spanfall_core.gateway.contention.admission import (
    Contention,
    Reject,
    decide,
)
from spanfall_core.gateway.contention.prediction import RETURN_SHARE
from spanfall_core.gateway.contention.returns import latest_return
from test_gateway_contention import (
    FULL,
    HELD,
    OPEN,
    RATE,
    RUN_SECONDS,
    asker,
    terms,
)
from test_gateway_contention_promises import BRISK, SLOW, Load

SECONDS = 12
#: Seconds after which the load is steady, and those of which returns are
#: counted together: a herd would meet in one of them.
STEADY_AFTER = 4
SPAN = 0.5
PROMPT = {'units': 2}
ROOMS = [replace(room, work_rate=2 * RATE) for room in (FULL, OPEN)]


@dataclass(slots=True)
class Returning(Load):
    """Let callers come back once, as they were told, if they have the time."""

    due: dict = field(default_factory=dict)
    #: When each one came back.
    came: dict = field(default_factory=dict)

    def arrive(self, now, rng):
        due = tuple(one for one, at in self.due.items() if at <= now)
        for identity in due:
            came_from, stated = self.asked[identity]
            left = stated.deadline_in - (now - came_from)
            self.asked[identity] = now, replace(stated, deadline_in=left)
            self.due.pop(identity)
            self.came[identity] = now
            self.ask(identity, self.full, now)
        Load.arrive(self, now, rng)

    def reject(self, identity, left, seconds, now):
        latest = latest_return(left.deadline_in, RUN_SECONDS)
        if identity not in self.came and not left.waited and seconds <= latest:
            self.due[identity] = now + seconds


@pytest.mark.parametrize(
    ('calls', 'rate'),
    [
        ({'a': (150, BRISK | PROMPT)}, 100),
        ({name: (37.5, SLOW | PROMPT) for name in 'abcd'}, 100),
        ({'hot': (130, BRISK | PROMPT), 'small': (20, BRISK | PROMPT)}, 80),
    ],
)
def test_returns_fill_the_room_kept_for_them(calls, rate):
    """Whoever comes back as told is served, steadily, and no place is idle.

    New calls take their shares, so returns get what is kept for them of the
    rate of those workspaces that ask for more.
    """
    load = Returning(calls, *ROOMS)
    load.run(SECONDS)
    late = {one: at for one, at in load.came.items() if at > STEADY_AFTER}
    settled = [one for one, at in late.items() if at < SECONDS - 1]
    assert sum(one in load.served for one in settled) >= 0.95 * len(settled)
    kept = RETURN_SHARE * rate
    assert len(late) >= 0.75 * kept * (SECONDS - STEADY_AFTER)
    spans = Counter(int(at / SPAN) for at in late.values())
    assert max(spans.values()) <= 2 * kept * SPAN
    assert len(load.served) >= 0.98 * SECONDS * RATE


def test_returns_are_spread_at_an_unknown_rate(monkeypatch):
    """A workspace floods a new home, which doesn't know what upstreams do.

    160 a second are rejected, beyond the bound on held requests. They come back
    at most half as fast, so that they don't meet the same bound again.
    """
    monkeypatch.setattr(f'{HELD}.MAX_HELD_PER_WORKSPACE', 40)
    contention = Contention()
    unknown = replace(FULL, work_rate=0)
    stated = terms(target_in=6, deadline_in=9)
    decisions = [
        decide(asker(number), stated, unknown, contention, number / 160)
        for number in range(80)
    ]
    told = [
        number / 160 + one.retry_after
        for number, one in enumerate(decisions)
        if isinstance(one, Reject)
    ]
    assert len(told) == 40
    assert max(Counter(int(at * 10) for at in told).values()) <= 8
