"""Define the metrics of the scheduling features of a gateway."""

from prometheus_client import CollectorRegistry, Counter, Gauge

from spanfall_node.metric_kinds import labelled_counter


class SchedulingCounters:
    """Hold the metrics of admission, upstream speeds and orders."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create all metrics in a registry."""
        self.held_requests = Counter(
            'spanfall_held_requests',
            'Requests that the home held until there was room',
            registry=registry,
        )
        self.turns = Counter(
            'spanfall_turns',
            'Turns that this node gave, as the home, to held requests',
            registry=registry,
        )
        self.hopeless_holds = Counter(
            'spanfall_hopeless_holds',
            'Held requests that this node, as the home, let ask again as they'
            ' no longer make their deadline',
            registry=registry,
        )
        self.returns = labelled_counter(
            registry,
            'spanfall_returns',
            'Callers that came back after a rejection, kept or too early',
            'outcome',
        )
        self.speed_samples = labelled_counter(
            registry,
            'spanfall_upstream_speed_samples',
            'Samples of the speed of single upstreams, by source',
            'source',
        )
        self.upstream_factors = Gauge(
            'spanfall_upstream_factor',
            'Duration of work at the slowest and the fastest upstream, relative'
            ' to the usual; on the home',
            ('which',),
            registry=registry,
        )
        self.shared_tokens_read_again = labelled_counter(
            registry,
            'spanfall_shared_tokens_read_again',
            'Tokens of shared prompt parts read again as granted by the home, by'
            ' whether the heat of the part pays for it',
            'kind',
        )
        self.held_now = Gauge(
            'spanfall_held_requests_now',
            'Requests of this node that wait for their turn',
            registry=registry,
        )
        self.longest_hold = Gauge(
            'spanfall_longest_hold_seconds',
            'Time for which the longest held request of this node waits',
            registry=registry,
        )
        self.capacity = Gauge(
            'spanfall_capacity',
            'Upstreams that the work of a service keeps busy and is worth',
            ['service', 'figure'],
            registry=registry,
        )
        self.reclaims = Gauge(
            'spanfall_reclaims_seen',
            'Reclaims of data centres that this home has seen',
            ['service', 'data_centre'],
            registry=registry,
        )
