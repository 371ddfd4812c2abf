"""Define the metrics of a node, in a registry of its own.

Each refusal, retry and drop reason has a counter from the start, so that a
reason which never occurred reads zero instead of missing.
"""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
)
from spanfall_core.reasons import DropReason, RefusalReason, RetryReason

from spanfall_node.metric_kinds import labelled_counter, reason_counter

#: Bucket bounds, in seconds, around the target of 0.57 s (letter 1).
LATENCY_BUCKETS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.57,
    1,
    2,
    5,
    10,
    30,
)


class Metrics:
    """Hold the counters, gauges and histograms of one node."""

    def __init__(self) -> None:
        """Create all metrics, with a zero for each known reason."""
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self.refusals = reason_counter(
            self.registry,
            'spanfall_refusals',
            'Requests refused, by reason',
            RefusalReason,
        )
        self.retries = reason_counter(
            self.registry,
            'spanfall_retries',
            'Requests sent again, by reason',
            RetryReason,
        )
        self.drops = reason_counter(
            self.registry,
            'spanfall_dropped_frames',
            'Frames from other nodes dropped, by reason',
            DropReason,
        )
        self.requests = self._counter(
            'spanfall_requests',
            'Requests accepted from callers, by service',
            'service',
        )
        self.answers = self._counter(
            'spanfall_answers',
            'Whole answers given to callers, by service',
            'service',
        )
        self.tokens = self._counter(
            'spanfall_tokens',
            'Tokens relayed to callers, by service',
            'service',
        )
        self.recomputed = self._counter(
            'spanfall_recomputed_tokens',
            'Tokens that upstreams had to compute again, by service',
            'service',
        )
        self.store_calls = Counter(
            'spanfall_store_calls',
            'Calls to the key-value service, by operation and outcome',
            ['operation', 'outcome'],
            registry=self.registry,
        )
        self.link_bytes = Counter(
            'spanfall_link_bytes',
            'Bytes sent to other nodes, by plane',
            ['plane'],
            registry=self.registry,
        )
        self.queued = self._gauge(
            'spanfall_queued_requests',
            'Requests queued at this home, by service',
            'service',
        )
        self.in_flight = self._gauge(
            'spanfall_in_flight',
            'Requests running at upstreams for this home, by service',
            'service',
        )
        self.revision = Gauge(
            'spanfall_config_revision',
            'Revision of the configuration in force here',
            registry=self.registry,
        )
        self.members = Gauge(
            'spanfall_members',
            'Nodes in the member list of this node',
            registry=self.registry,
        )
        self.first_token = Histogram(
            'spanfall_first_token_seconds',
            'Time from request to the first part of its answer',
            ['service'],
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )

    def _counter(self, name: str, text: str, label: str) -> Counter:
        return labelled_counter(self.registry, name, text, label)

    def _gauge(self, name: str, text: str, label: str) -> Gauge:
        return Gauge(name, text, [label], registry=self.registry)
