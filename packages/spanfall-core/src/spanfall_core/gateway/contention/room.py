"""Sum up the work that the upstreams of a service can take now."""

from dataclasses import dataclass

#: Maximum fraction of the tightest latency target that a request waits for
#: others at its upstream. The rest is left for its own run and for the wait at
#: the home.
UPSTREAM_WAIT_FRACTION = 0.25
#: Maximum calls that wait at an upstream, as a fraction of its slots: upstreams
#: reject calls beyond a queue of some slots.
MAX_WAITING_CALLS = 0.5


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """State the load of one upstream."""

    slots: int
    running: int
    #: Seconds that the engine needs, at its usual speed, for the prompts that
    #: wait there.
    prefill_seconds: float = 0
    #: Factor by which its work takes longer than usual.
    slowdown: float = 1


@dataclass(frozen=True, slots=True)
class ServiceRoom:
    """State what a service can take now."""

    #: Number of upstreams that may get work.
    upstreams: int
    #: Requests that these upstreams can run at the same time.
    places: float
    #: Requests that run there.
    busy: float
    #: Units that all of them serve per second; 0: unknown.
    work_rate: float
    #: Minimum seconds that one run takes.
    least_run: float
    #: Requests that may be sent before the loads are known again.
    free: int
    #: Seconds until the first upstream accepts requests, if all back off.
    opens_in: float = 0


def openings(
    load: UpstreamLoad,
    tightest_target: float,
    *,
    reads_prompts: bool,
    calls_per_second: float = 0,
) -> int:
    """Return how many requests an upstream may get at once.

    It is open if a request sent now would meet the tightest latency target of
    the service's routes, in seconds. An engine gets one request at a time,
    since the next one waits for the prompt of this one. Calls may fill its
    slots and, where it is known how many it serves in a second, wait there for
    as long: the slot that one leaves is not idle until the home has heard.
    """
    if not reads_prompts:
        wait = tightest_target * UPSTREAM_WAIT_FRACTION
        waiting = min(calls_per_second * wait, load.slots * MAX_WAITING_CALLS)
        return max(0, load.slots + int(waiting) - load.running)
    unused = max(0, load.slots - load.running)
    wait = load.prefill_seconds * load.slowdown
    is_open = unused and wait < tightest_target * UPSTREAM_WAIT_FRACTION
    return int(is_open)
