"""Generate the requests of the simulation of limits."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

#: Units of a request of fixed size.
REQUEST_UNITS = 12_000
#: Units of the largest request of a small workspace of the deployments: six
#: of them use up its limit.
LARGEST_REQUEST_UNITS = 70_000


def equal_sizes() -> Callable[[], float]:
    """Return a source of requests of equal size."""
    return lambda: REQUEST_UNITS


def mixed_sizes(seed: int) -> Callable[[], float]:
    """Return a source of many small requests and a few large ones."""
    draw = Random(seed)

    def size() -> float:
        mean = draw.choices((1_100, 2_400, 12_000), (60, 25, 15))[0]
        return round(
            min(LARGEST_REQUEST_UNITS, mean * draw.lognormvariate(-0.5, 1)),
        )

    return size


@dataclass(frozen=True, slots=True)
class Outcome:
    """Describe how an admitted request ends."""

    #: Steps until it reaches an upstream or is refused.
    steps: int = 0
    is_refused: bool = False


def run_immediately() -> Callable[[], Outcome]:
    """Return a source of requests that run on admission."""
    return Outcome


def run_after_queueing(seed: int, refused: float) -> Callable[[], Outcome]:
    """Return a source of requests that queue; a part is then refused."""
    draw = Random(seed)

    def outcome() -> Outcome:
        steps = min(200, int(draw.expovariate(1 / 25)))
        return Outcome(steps, draw.random() < refused)

    return outcome
