"""Test that the model estimates prefill speed from requests."""

from itertools import count
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from spanfall_core.gateway.known.engine_model import (
    MAX_RATE,
    MIN_RATE,
    PrefillModel,
    PrefillSpeed,
    PrefillSums,
    clamp_wait,
    prefill_work,
)

ENTRIES = 7
#: Number of requests after which the estimate must be accurate.
REQUESTS = 200


def train_model(engine, seed, *, silent_fraction=0):
    """Return the speed that the home estimates from requests to an engine.

    Prompt lengths follow those of the deployments, from some hundred tokens to
    fifty thousand; waits vary by a tenth. A fraction of the requests waits ten
    seconds, as at an unresponsive engine.
    """
    random = Random(seed)
    model = PrefillModel()
    sums = [PrefillSums() for _ in range(ENTRIES)]
    for first in range(ENTRIES):
        model.learn(str(first), PrefillSums(), 0)
    for number, now in zip(range(REQUESTS), count(0.02, 0.02), strict=False):
        entry = number % ENTRIES
        work = prefill_work(int(random.lognormvariate(7.5, 1.3)) + 50)
        seconds = engine.seconds(work) * random.uniform(0.9, 1.1)
        if random.random() < silent_fraction:
            seconds = 10
        expected = model.speed().seconds(work)
        updated = PrefillSums()
        updated.add_sums(sums[entry])
        updated.add(work, clamp_wait(seconds, expected))
        sums[entry] = updated
        model.learn(str(entry), updated, now)
    return model.speed()


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('rate', [20_000, 64_000, 157_000, 400_000])
def test_rate_is_estimated_from_requests(rate, seed):
    learned = train_model(PrefillSpeed(0.03, rate), seed)
    assert learned.rate == pytest.approx(rate, rel=0.1)


@pytest.mark.parametrize('seed', range(5))
def test_silent_engine_does_not_distort_estimate(seed):
    """Test one unresponsive engine of twelve; the others keep their speed."""
    learned = train_model(
        PrefillSpeed(0.03, 150_000), seed, silent_fraction=0.08
    )
    assert learned.seconds(12_000) < 2 * 0.12


def test_new_home_starts_from_prior_speed():
    known = PrefillSpeed(0.03, 157_000)
    model = PrefillModel(known)
    model.learn('entry', PrefillSums(5000, 1e8, 1e13, 500, 1e8), 0)
    assert model.speed().rate == pytest.approx(known.rate)


SAMPLES = st.lists(
    st.tuples(st.integers(0, 60_000), st.floats(0, 30)),
    max_size=30,
)


@settings(derandomize=True, deadline=None)
@given(SAMPLES)
def test_estimate_stays_in_bounds_for_any_samples(samples):
    model = PrefillModel()
    model.learn('entry', PrefillSums(), 0)
    sums = PrefillSums()
    for tokens, seconds in samples:
        sums.add(prefill_work(tokens), seconds)
    model.learn('entry', sums, 1)
    speed = model.speed()
    assert MIN_RATE * 0.99 <= speed.rate <= MAX_RATE * 1.01
    assert speed.base >= 0
