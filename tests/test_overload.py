"""Check fair shares and deadlines at 1.5 times saturation, virtual time."""

from overload import arrivals, drive

SEED = 1


def test_interactive_requests_begin_in_time() -> None:
    rows = arrivals(SEED)
    core = drive(rows, is_fifo=False)
    fifo = drive(rows, is_fifo=True)
    assert core.share_met() > 0.95
    assert fifo.share_met() < 0.2
    assert core.whole_long > 1000
