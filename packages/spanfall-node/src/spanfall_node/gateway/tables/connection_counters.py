"""Define the metrics of clients' connections."""

from prometheus_client import CollectorRegistry, Counter


class ConnectionCounters:
    """Hold the metrics of connections that this node closes."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create all metrics in a registry."""
        self.closed_unread = Counter(
            'spanfall_closed_unread',
            'Connections of callers closed before any request was read',
            registry=registry,
        )
        self.closed_for_room = Counter(
            'spanfall_closed_for_room',
            'Clients without progress that gave way to others',
            registry=registry,
        )
