"""Predict how much offered work a group of engines answers on time.

An engine reads one prompt at a time, so that requests wait in a queue. Work is
stated in engines kept busy: seconds of engine time that arrive per second.
"""

from functools import lru_cache
from math import exp

#: Engines that share a queue. Routing compares all engines, but prompts with
#: shared parts prefer the few that have cached them.
POOLED_ENGINES = 4
#: Bounds of the ratio of the time that a request may wait to the mean time that
#: an engine spends on one: both figures are estimates.
MIN_SLACK_RATIO = 1.0
MAX_SLACK_RATIO = 12.0
#: Resolution at which the most useful utilisation is searched.
UTILISATION_STEPS = 200
#: Steps of the slack ratio between which predictions are not told apart.
RATIO_STEPS = 4


def slack_ratio(target: float, first_token: float, busy: float) -> float:
    """Return how many times the mean request fits into the time to wait.

    ``target`` is the latency target in seconds, ``first_token`` the mean time
    to the first token without a queue, of which an engine is busy for ``busy``
    seconds.
    """
    if not busy:
        return MAX_SLACK_RATIO
    ratio = max(0, target - first_token) / busy
    bounded = min(MAX_SLACK_RATIO, max(MIN_SLACK_RATIO, ratio))
    return round(bounded * RATIO_STEPS) / RATIO_STEPS


def late_fraction(utilisation: float, ratio: float) -> float:
    """Return the fraction of requests that wait longer than they may.

    This is the tail of the wait in a queue with several servers (Erlang's C).
    """
    if utilisation >= 1:
        return 1
    return _waiting_fraction(utilisation) * _tail(utilisation, ratio)


def on_time_work(busy: float, engines: float, ratio: float) -> float:
    """Return how much of the offered work is answered on time.

    Work beyond what is useful to accept is taken to be refused, so that more of
    it does not delay the rest.
    """
    if not engines or not busy:
        return 0
    utilisation = min(busy / engines, useful_utilisation(ratio))
    return engines * utilisation * (1 - late_fraction(utilisation, ratio))


@lru_cache(maxsize=256)
def useful_utilisation(ratio: float) -> float:
    """Return the utilisation at which an engine answers most work on time."""
    steps = [step / UTILISATION_STEPS for step in range(1, UTILISATION_STEPS)]
    return max(steps, key=lambda part: part * (1 - late_fraction(part, ratio)))


@lru_cache(maxsize=256)
def bearable_utilisation(ratio: float, late: float) -> float:
    """Return the utilisation up to which no more than a fraction is late."""
    steps = (step / UTILISATION_STEPS for step in range(UTILISATION_STEPS))
    return max(part for part in steps if late_fraction(part, ratio) <= late)


def _waiting_fraction(utilisation: float) -> float:
    """Return the fraction of requests that find all engines busy."""
    offered = utilisation * POOLED_ENGINES
    term, total = 1.0, 1.0
    for present in range(1, POOLED_ENGINES):
        term *= offered / present
        total += term
    full = term * offered / POOLED_ENGINES / (1 - utilisation)
    return full / (total + full)


def _tail(utilisation: float, ratio: float) -> float:
    return exp(-POOLED_ENGINES * (1 - utilisation) * ratio)
