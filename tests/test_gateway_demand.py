"""Estimate the need for engines from offered load, as a decaying peak."""

from spanfall_core.gateway.known.configuration import EngineLimits
from spanfall_core.gateway.known.engine_model import PrefillSpeed
from spanfall_core.gateway.orders.demand import (
    PEAK_HALF_LIFE_SECONDS,
    TARGET_BATCH_UTILIZATION,
    TARGET_PREFILL_UTILIZATION,
    Demand,
    OfferedLoad,
    SlidingMaximum,
    needed_upstreams,
)


def test_demand_rises_at_once_and_falls_slowly():
    demand = Demand()
    demand.record_need(10, 10)
    demand.record_need(0, 10 + PEAK_HALF_LIFE_SECONDS)
    assert round(demand.peak, 3) == 5
    demand.record_need(9, 20 + PEAK_HALF_LIFE_SECONDS)
    assert demand.peak == 9


def test_need_counts_running_and_reading():
    engine = EngineLimits(slots=32, cache_tokens=1)
    speed = PrefillSpeed(rate=60_000)
    prefill_rate = 2 * speed.rate * TARGET_PREFILL_UTILIZATION
    reading = OfferedLoad(prefill_rate=prefill_rate)
    both = OfferedLoad(
        5 * engine.slots * TARGET_BATCH_UTILIZATION, prefill_rate
    )
    assert needed_upstreams(engine, OfferedLoad(), speed, present=9) == 0
    assert 1.9 < needed_upstreams(engine, reading, speed, present=9) < 2.1
    assert 6.9 < needed_upstreams(engine, both, speed, present=9) < 7.1
    faster = PrefillSpeed(rate=120_000)
    assert 5.9 < needed_upstreams(engine, both, faster, present=9) < 6.1


def test_counts_fall_only_after_a_while():
    held = SlidingMaximum()
    counts = [held.update(count, 4, now) for now, count in enumerate('5343322')]
    assert counts == list('5555443')
