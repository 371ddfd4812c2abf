"""The need for engines: what callers offer, as a fading peak."""

from spanfall_core.gateway.known.configuration import EngineLimits
from spanfall_core.gateway.known.engine_model import PrefillSpeed
from spanfall_core.gateway.orders.demand import (
    GOOD_BATCH,
    GOOD_READING,
    PEAK_HALF_LIFE,
    Demand,
    HeldMost,
    OfferedLoad,
    needed_upstreams,
)


def test_demand_rises_at_once_and_falls_slowly():
    demand = Demand()
    demand.learn(10, 10)
    demand.learn(0, 10 + PEAK_HALF_LIFE)
    assert round(demand.peak, 3) == 5
    demand.learn(9, 20 + PEAK_HALF_LIFE)
    assert demand.peak == 9


def test_need_counts_running_and_reading():
    engine = EngineLimits(slots=32, cache_tokens=1)
    speed = PrefillSpeed(rate=60_000)
    work_rate = 2 * speed.rate * GOOD_READING
    reading = OfferedLoad(work_rate=work_rate)
    both = OfferedLoad(5 * engine.slots * GOOD_BATCH, work_rate)
    assert needed_upstreams(engine, OfferedLoad(), speed, there=9) == 0
    assert 1.9 < needed_upstreams(engine, reading, speed, there=9) < 2.1
    assert 6.9 < needed_upstreams(engine, both, speed, there=9) < 7.1
    faster = PrefillSpeed(rate=120_000)
    assert 5.9 < needed_upstreams(engine, both, faster, there=9) < 6.1


def test_counts_fall_only_after_a_while():
    held = HeldMost()
    counts = [held.learn(count, 4, now) for now, count in enumerate('5343322')]
    assert counts == list('5555443')
