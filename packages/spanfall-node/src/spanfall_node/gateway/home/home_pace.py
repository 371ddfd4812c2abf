"""State how often nodes look for a home, and which leave it to others."""

from spanfall_api.gateway_settings import Host

#: Seconds between two looks at the record while there is no home.
LOOKUP_PERIOD = 0.3
#: The same while the store does not answer.
OUTAGE_LOOKUP_PERIOD = 0.8
#: Looks a second that a fleet without a home makes in all, while the store
#: answers and while it does not: one of many nodes finds a free record as fast
#: as one of few, and the others then follow.
MAX_LOOKUPS_PER_SECOND = 300
MAX_OUTAGE_LOOKUPS_PER_SECOND = 80
#: Cores and Mbit/s below which a host is small: the home of a large fleet
#: needs a fifth of a core and some Mbit/s.
SMALL_HOST_CORES = 1.0
SMALL_HOST_MEGABITS = 50.0
#: Seconds for which a small host leaves a free record to others.
SMALL_HOST_DELAY_SECONDS = 0.8
#: Longest time between two looks of one node.
MAX_LOOKUP_PERIOD = 2.5


def lookup_period(
    min_period: float,
    entries: int,
    max_lookups: int = MAX_LOOKUPS_PER_SECOND,
) -> float:
    """Return the seconds between two looks of each of so many entries."""
    return min(MAX_LOOKUP_PERIOD, max(min_period, entries / max_lookups))


def strength(host: Host) -> float:
    """Return how well a host can bear the home, in cores.

    Behind a narrow link the processor waits.
    """
    cores = host.processor_part * host.processor_speed
    return cores * min(1, host.link_megabits / SMALL_HOST_MEGABITS)


def is_small(host: Host) -> bool:
    """Tell whether other hosts should rather be the home."""
    cores = host.processor_part * host.processor_speed
    return cores < SMALL_HOST_CORES or host.link_megabits < SMALL_HOST_MEGABITS
