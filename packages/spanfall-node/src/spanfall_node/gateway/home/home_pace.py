"""Define how often nodes look up the home, and which hosts defer to others."""

from spanfall_api.gateway_settings import Host

#: Seconds between two lookups of the home record while there is no home.
LOOKUP_PERIOD = 0.3
#: The same while the store does not answer.
OUTAGE_LOOKUP_PERIOD = 0.8
#: Lookups per second of a whole fleet without a home, while the store answers
#: and while it does not. In a large fleet each node looks less often, but some
#: node finds a free record as fast as in a small one, and the others follow.
MAX_LOOKUPS_PER_SECOND = 300
MAX_OUTAGE_LOOKUPS_PER_SECOND = 80
#: Cores and Mbit/s below which a host counts as small. The home of a large
#: fleet needs a fifth of a core and some Mbit/s.
SMALL_HOST_CORES = 1.0
SMALL_HOST_MEGABITS = 50.0
#: Seconds for which a small host leaves a free home record to others.
SMALL_HOST_DELAY_SECONDS = 0.8
#: Maximum seconds between two lookups of one node.
MAX_LOOKUP_PERIOD = 2.5


def lookup_period(
    min_period: float,
    entries: int,
    max_lookups: int = MAX_LOOKUPS_PER_SECOND,
) -> float:
    """Return the seconds between two lookups of each entry."""
    return min(MAX_LOOKUP_PERIOD, max(min_period, entries / max_lookups))


def strength(host: Host) -> float:
    """Return the capacity of a host to serve as home, in cores.

    A narrow link reduces it, since the processor waits for the link.
    """
    cores = host.processor_part * host.processor_speed
    return cores * min(1, host.link_megabits / SMALL_HOST_MEGABITS)


def is_small(host: Host) -> bool:
    """Tell whether other hosts are preferred as home."""
    cores = host.processor_part * host.processor_speed
    return cores < SMALL_HOST_CORES or host.link_megabits < SMALL_HOST_MEGABITS
