"""Learn how fast engines read, from what requests show."""

from itertools import count
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from spanfall_core.gateway.known.engine_model import (
    LEAST_RATE,
    MOST_RATE,
    ReadingModel,
    ReadingSpeed,
    ReadingSums,
    bounded_seconds,
    reading_work,
)

ENTRIES = 7
#: Requests after which the model is to be right.
REQUESTS = 200


def learn_from(engine, seed, *, silent_part=0):
    """Let entries see requests of an engine; return what the home learns.

    Prompts are as long as those of the deployments, from some hundred tokens
    to fifty thousand; waits vary by a tenth. A part of the engines is silent
    for ten seconds.
    """
    random = Random(seed)
    model = ReadingModel()
    sums = [ReadingSums() for _ in range(ENTRIES)]
    for first in range(ENTRIES):
        model.learn(str(first), ReadingSums(), 0)
    for number, now in zip(range(REQUESTS), count(0.02, 0.02), strict=False):
        entry = number % ENTRIES
        work = reading_work(int(random.lognormvariate(7.5, 1.3)) + 50)
        seconds = engine.seconds(work) * random.uniform(0.9, 1.1)
        if random.random() < silent_part:
            seconds = 10
        expected = model.speed().seconds(work)
        grown = ReadingSums()
        grown.add_sums(sums[entry])
        grown.add(work, bounded_seconds(seconds, expected))
        sums[entry] = grown
        model.learn(str(entry), grown, now)
    return model.speed()


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('rate', [20_000, 64_000, 157_000, 400_000])
def test_the_rate_is_found_after_some_requests(rate, seed):
    learned = learn_from(ReadingSpeed(0.03, rate), seed)
    assert learned.rate == pytest.approx(rate, rel=0.1)


@pytest.mark.parametrize('seed', range(5))
def test_a_silent_engine_does_not_spoil_it(seed):
    """One of twelve engines answers nothing; the rest is as fast as before."""
    learned = learn_from(ReadingSpeed(0.03, 150_000), seed, silent_part=0.08)
    assert learned.seconds(12_000) < 2 * 0.12


def test_a_new_home_goes_on_from_what_it_heard():
    known = ReadingSpeed(0.03, 157_000)
    model = ReadingModel(known)
    model.learn('entry', ReadingSums(5000, 1e8, 1e13, 500, 1e8), 0)
    assert model.speed().rate == pytest.approx(known.rate)


SAMPLES = st.lists(
    st.tuples(st.integers(0, 60_000), st.floats(0, 30)),
    max_size=30,
)


@settings(derandomize=True, deadline=None)
@given(SAMPLES)
def test_no_samples_make_it_senseless(samples):
    model = ReadingModel()
    model.learn('entry', ReadingSums(), 0)
    sums = ReadingSums()
    for tokens, seconds in samples:
        sums.add(reading_work(tokens), seconds)
    model.learn('entry', sums, 1)
    speed = model.speed()
    assert LEAST_RATE * 0.99 <= speed.rate <= MOST_RATE * 1.01
    assert speed.base >= 0
