"""Define the metrics of the platform's list of upstreams."""

from prometheus_client import CollectorRegistry, Counter


class ListingCounters:
    """Hold the metrics of entries that are not taken as they are listed."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create all metrics in a registry."""
        self.unusable_entries = Counter(
            'spanfall_unusable_entries',
            'Entries of the list of upstreams that name none to use',
            registry=registry,
        )
        self.returned_upstreams = Counter(
            'spanfall_returned_upstreams',
            'Upstreams that wrote their entry again after it had been removed',
            registry=registry,
        )
