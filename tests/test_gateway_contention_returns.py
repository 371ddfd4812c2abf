"""Rejected callers come back when told, and fill the room that there is then.

A service of ten places does 100 calls a second and is asked for 150.
"""

from collections import Counter
from dataclasses import dataclass, field, replace

import pytest
from spanfall_core.gateway.contention.prediction import RETURN_SHARE
from spanfall_core.gateway.contention.returns import latest_return
from test_gateway_contention import FULL, OPEN, RATE, RUN_SECONDS
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
