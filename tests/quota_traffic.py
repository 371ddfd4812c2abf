"""Draw the requests that a fleet gets in the model of limits."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

REQUEST_UNITS = 12_000
#: The largest request that a small workspace of the deployments sends: six
#: of them are its whole limit.
LARGEST_REQUEST_UNITS = 70_000


def equal_sizes() -> Callable[[], float]:
    """Return a source of requests that are all of one size."""
    return lambda: REQUEST_UNITS


def mixed_sizes(seed: int) -> Callable[[], float]:
    """Return a source of many small requests and a few up to the largest."""
    draw = Random(seed)

    def size() -> float:
        mean = draw.choices((1_100, 2_400, 12_000), (60, 25, 15))[0]
        return round(
            min(LARGEST_REQUEST_UNITS, mean * draw.lognormvariate(-0.5, 1))
        )

    return size


@dataclass(frozen=True, slots=True)
class Outcome:
    """State how an admitted request goes on."""

    #: Steps until it reaches an upstream or is refused.
    steps: int = 0
    is_refused: bool = False


def run_immediately() -> Callable[[], Outcome]:
    """Return a source of requests that run as they are admitted."""
    return Outcome


def run_after_queueing(seed: int, refused: float) -> Callable[[], Outcome]:
    """Return a source of requests that wait; a part is refused at last."""
    draw = Random(seed)

    def outcome() -> Outcome:
        steps = min(200, int(draw.expovariate(1 / 25)))
        return Outcome(steps, draw.random() < refused)

    return outcome
