"""Route prompts of similar length to the same engines.

The prefill of a long prompt stalls all streams of its engine. The engines of a
service therefore form a row, and the position of a prompt in it is the
fraction of all prefill work that shorter prompts cause. Long prompts then
mostly delay other long ones, and short prompts rarely meet them.
"""

from dataclasses import dataclass, field
from itertools import repeat
from math import log2

from spanfall_core.gateway.known.engine_model import prefill_work

#: Buckets per doubling of the length.
BUCKETS_PER_DOUBLING = 2
#: Length in tokens up to which all prompts share one bucket.
MIN_TOKENS = 64
BUCKET_COUNT = 24
#: Half-life of the weight of a prompt, in seconds.
HALF_LIFE_SECONDS = 20.0
#: Minimum work assumed in each bucket, in tokens, so that the first prompts do
#: not shift all positions.
PRIOR_TOKENS = 1000.0


@dataclass(slots=True)
class PromptSizes:
    """Track how prefill work is distributed over prompt lengths."""

    _work: list[float] = field(
        default_factory=lambda: list(repeat(PRIOR_TOKENS, BUCKET_COUNT)),
    )
    _decayed_at: float = 0

    def record_prompt(self, tokens: int, now: float) -> None:
        """Count a prompt that is read now."""
        self._decay(now)
        self._work[_bucket(tokens)] += prefill_work(tokens)

    def position(self, tokens: int) -> float:
        """Return the position of a prompt, from 0 for short to 1 for long."""
        bucket = _bucket(tokens)
        below = sum(self._work[:bucket]) + self._work[bucket] / 2
        return below / sum(self._work)

    def _decay(self, now: float) -> None:
        elapsed = now - self._decayed_at
        if elapsed < 1:
            return
        decay_factor = 0.5 ** (elapsed / HALF_LIFE_SECONDS)
        self._work = [
            max(PRIOR_TOKENS, work * decay_factor) for work in self._work
        ]
        self._decayed_at = now


def _bucket(tokens: int) -> int:
    doublings = log2(max(MIN_TOKENS, tokens) / MIN_TOKENS)
    return min(BUCKET_COUNT - 1, int(doublings * BUCKETS_PER_DOUBLING))
