"""Place prompts of like length together.

While an engine reads a long prompt, all streams that it serves stand still.
So the engines of a service form a row, and each prompt belongs at the place
in it up to which the shorter ones fill the engines: long prompts hold up
other long ones, and short ones hardly ever meet one.
"""

from dataclasses import dataclass, field
from itertools import repeat
from math import log2

from spanfall_core.gateway.known.engine_model import prefill_work

#: Buckets for each doubling of the length.
BUCKETS_PER_DOUBLING = 2
#: Tokens up to which all prompts are alike.
SHORTEST = 64
BUCKETS = 24
#: Seconds in which the weight of a prompt seen halves.
SIZE_HALF_LIFE = 20.0
#: Work of each length that is assumed to have been seen, in tokens, so that
#: the first prompts do not move everything.
FIRST_TOKENS = 1000.0


@dataclass(slots=True)
class PromptSizes:
    """Hold how the work of reading is spread over lengths of prompts."""

    _work: list[float] = field(
        default_factory=lambda: list(repeat(FIRST_TOKENS, BUCKETS)),
    )
    _faded_at: float = 0

    def learn(self, tokens: int, now: float) -> None:
        """Count a prompt that is read now."""
        self._fade(now)
        self._work[_bucket(tokens)] += prefill_work(tokens)

    def place(self, tokens: int) -> float:
        """Return where a prompt belongs, from 0 for short to 1 for long."""
        bucket = _bucket(tokens)
        below = sum(self._work[:bucket]) + self._work[bucket] / 2
        return below / sum(self._work)

    def _fade(self, now: float) -> None:
        passed = now - self._faded_at
        if passed < 1:
            return
        kept = 0.5 ** (passed / SIZE_HALF_LIFE)
        self._work = [max(FIRST_TOKENS, work * kept) for work in self._work]
        self._faded_at = now


def _bucket(tokens: int) -> int:
    doublings = log2(max(SHORTEST, tokens) / SHORTEST)
    return min(BUCKETS - 1, int(doublings * BUCKETS_PER_DOUBLING))
