"""The work rate follows what is sent while requests wait."""

import pytest
from spanfall_core.gateway.contention.work_rate import WorkRate

UPSTREAMS = 4
UNITS = 10.0


def send_for(rate, seconds, per_second, began_at, waiting_since=None):
    """Send requests at a steady pace; return the time afterwards."""
    sends = int(seconds * per_second)
    for number in range(sends):
        now = began_at + number / per_second
        rate.record_sent(UNITS, now)
        waiting = 0 if waiting_since is None else now - waiting_since
        rate.learn(UPSTREAMS, waiting, now)
    return began_at + seconds


def test_work_below_the_room_shows_no_rate():
    rate = WorkRate()
    send_for(rate, 5, 100, 0)
    assert rate.per_upstream == 0


@pytest.mark.parametrize('seconds', [0.4, 3])
def test_a_burst_after_little_load(seconds):
    """The rate is known soon, and the load before it does not count."""
    rate = WorkRate()
    now = send_for(rate, 5, 20, 0)
    send_for(rate, seconds, 400, now, now)
    assert rate.per_upstream == pytest.approx(1000, rel=0.1)


def test_upstreams_slow_down_while_requests_wait():
    rate = WorkRate()
    now = send_for(rate, 3, 400, 0, 0)
    send_for(rate, 5, 100, now, 0)
    assert rate.per_upstream == pytest.approx(250, rel=0.1)


def test_the_rate_is_kept_while_none_waits():
    rate = WorkRate()
    now = send_for(rate, 3, 400, 0, 0)
    send_for(rate, 5, 20, now)
    assert rate.per_upstream == pytest.approx(1000, rel=0.1)


def test_few_long_runs_show_their_rate():
    """Each of four upstreams takes 8 s for a request, so one ends each 2 s.

    The rate is the same between two sends, or requests would be rejected that
    can be served.
    """
    rate = WorkRate()
    now = send_for(rate, 40, 0.5, 0, 0)
    for passed in (0, 1, 1.9):
        rate.learn(UPSTREAMS, now + passed, now + passed)
        assert rate.per_upstream == pytest.approx(UNITS / 8, rel=0.2)


def test_lost_upstreams_take_their_rate_along():
    """Half of the upstreams are reclaimed, the others do what they did."""
    rate = WorkRate()
    now = send_for(rate, 3, 400, 0, 0)
    rate.learn(UPSTREAMS // 2, now, now)
    assert rate.per_upstream == pytest.approx(1000, rel=0.1)
