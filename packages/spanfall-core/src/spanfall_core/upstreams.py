"""Track the state of upstreams: leaving, ejection, slow start and speed.

The first notice that an upstream is leaving takes effect, whatever its source;
only a higher incarnation of the upstream makes it active again.
"""

from spanfall_core.tables import Pool, Upstream, UpstreamState

#: Fraction of its slots that an upstream offers at the start of slow start.
SLOW_START_FRACTION = 0.25
#: Weight of the newest sample in the exponential moving averages.
SMOOTHING_FACTOR = 0.2


def is_usable(row: Upstream, now: float) -> bool:
    """Return whether requests may be dispatched to the upstream."""
    return row.state is UpstreamState.ACTIVE and row.ejected_until <= now


def open_slots(pool: Pool, row: Upstream, now: float) -> int:
    """Return how many slots the upstream offers, free or occupied."""
    if not is_usable(row, now):
        return 0
    window = pool.policy.slow_start_seconds
    age = now - row.active_since
    if not row.active_since or window <= 0 or age >= window:
        return row.slots
    fraction = max(SLOW_START_FRACTION, age / window)
    return max(1, int(row.slots * fraction))


def usable_slots(pool: Pool, now: float) -> int:
    """Return how many slots the whole pool offers, free or occupied."""
    return sum(open_slots(pool, row, now) for row in pool.upstreams.values())


def put_upstream(pool: Pool, row: Upstream, now: float) -> None:
    """Add an upstream, or update its description and keep its measured state.

    A higher incarnation is a new process: its row replaces the known one and
    keeps only the in-flight count. It goes through slow start.
    """
    known = pool.upstreams.get(row.upstream_id)
    if known is None or row.incarnation > known.incarnation:
        row.active_since = 0.0 if known is None else now
        row.in_flight = 0 if known is None else known.in_flight
        pool.upstreams[row.upstream_id] = row
        return
    known.address = row.address
    known.data_centre = row.data_centre
    known.host_class = row.host_class
    known.price = row.price
    known.slots = row.slots
    known.reclaimable = row.reclaimable


def record_failure(pool: Pool, row: Upstream, now: float) -> None:
    """Count a failure; eject the upstream after several consecutive ones.

    Its slow start begins when the ejection ends.
    """
    row.failures += 1
    if row.failures >= pool.policy.eject_after:
        row.ejected_until = now + pool.policy.eject_seconds
        row.failures = 0
        row.active_since = row.ejected_until


def record_success(row: Upstream, seconds: float, tokens: int) -> None:
    """Add the duration of a completed run to the moving averages."""
    row.failures = 0
    row.call_seconds += SMOOTHING_FACTOR * (seconds - row.call_seconds)
    if tokens:
        sample = seconds / tokens
        row.token_seconds += SMOOTHING_FACTOR * (sample - row.token_seconds)
