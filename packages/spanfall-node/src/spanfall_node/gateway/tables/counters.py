"""Define the metrics of a gateway, with a counter for each reason."""

from enum import StrEnum, unique

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from spanfall_core.gateway.known.statements import StatementChange
from spanfall_core.reasons import RefusalReason, RetryReason

from spanfall_node.gateway.net.body_ends import BodyEnd
from spanfall_node.gateway.tables.connection_counters import ConnectionCounters
from spanfall_node.gateway.tables.listing_counters import ListingCounters
from spanfall_node.gateway.tables.scheduling_counters import (
    SchedulingCounters,
)
from spanfall_node.metric_kinds import labelled_counter, reason_counter

#: Histogram buckets in seconds around the latency targets of 0.1 to 1.2 s.
LATENCY_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 5, 15)


@unique
class PathKind(StrEnum):
    """Name how a node connects to an upstream."""

    DIRECT = 'direct'
    PEER = 'peer'


@unique
class ResumeOutcome(StrEnum):
    """Name what became of a stream that broke off after its first event."""

    #: The entry sent it on within the response.
    WITHIN_RESPONSE = 'within-response'
    #: The caller resumed it, and what began it was found.
    FOUND = 'found'
    #: Nobody knows what began it.
    UNKNOWN = 'unknown'
    #: No node that may know what began it answered.
    NO_HOME = 'no-home'
    #: What began it serves no more, or not on this route.
    VERSION_GONE = 'version-gone'


class Counters:
    """Hold the metrics of one gateway."""

    def __init__(self) -> None:
        """Create all metrics, with an initial 0 for each known reason."""
        self.registry = CollectorRegistry()
        self.scheduling = SchedulingCounters(self.registry)
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
        self.denied_retries = self._labelled(
            'spanfall_denied_retries',
            'Retries that the budget did not allow, by service',
            'service',
        )
        self.fleet_retries = self._gauge(
            'spanfall_fleet_retries',
            'On the home: retries of all entries in the last window',
        )
        self.fleet_retries_allowed = self._gauge(
            'spanfall_fleet_retries_allowed',
            'On the home: retries that the fleet may make in a window',
        )
        self.answers = self._labelled(
            'spanfall_answers',
            'Answers given to callers, by status',
            'status',
        )
        self.units_admitted = self._labelled(
            'spanfall_units_admitted',
            'Units of limits taken by admitted requests',
            'workspace',
        )
        self.units_run = self._labelled(
            'spanfall_units_run',
            'Units of limits of requests that upstreams ran or may have run',
            'workspace',
        )
        self.units_returned = self._labelled(
            'spanfall_units_returned',
            'Units of limits given back, as their requests did not run',
            'workspace',
        )
        self.unit_requests = self._labelled(
            'spanfall_unit_requests',
            'Questions to the home for units that a request lacks',
            'outcome',
        )
        self.grants = self._labelled(
            'spanfall_grants',
            'Upstreams chosen for requests, by who chose',
            'outcome',
        )
        self.statements = reason_counter(
            self.registry,
            'spanfall_upstream_statements',
            'What upstreams newly said of themselves in answers, by kind',
            StatementChange,
        )
        self.invalid_loads = Counter(
            'spanfall_invalid_upstream_loads',
            'Loads stated by upstreams that could not be parsed',
            registry=self.registry,
        )
        self.cut_answers = self._labelled(
            'spanfall_cut_answers',
            'Answers that ended early, by reason',
            'reason',
        )
        self.response_ends = reason_counter(
            self.registry,
            'spanfall_upstream_response_ends',
            'Bodies of upstream responses, by how they ended',
            BodyEnd,
        )
        self.resumed_streams = reason_counter(
            self.registry,
            'spanfall_resumed_streams',
            'Broken streams that were to continue, by what became of them',
            ResumeOutcome,
        )
        self.upstream_paths = reason_counter(
            self.registry,
            'spanfall_upstream_paths',
            'Connections opened to upstreams, by path',
            PathKind,
        )
        self.tunnels = Counter(
            'spanfall_tunnels',
            'Connections to upstreams that this node opened for peers',
            registry=self.registry,
        )
        self.connections = ConnectionCounters(self.registry)
        self.loop_delay = Gauge(
            'spanfall_loop_delay_seconds',
            'Standing delay of the event loop',
            registry=self.registry,
        )
        self.store_calls = self._labelled(
            'spanfall_store_calls',
            'Calls to the store, by outcome',
            'outcome',
        )
        self.store_restores = Counter(
            'spanfall_store_restores',
            'Restores of the store from a copy that answers told of',
            registry=self.registry,
        )
        self.duty_calls = self._labelled(
            'spanfall_duty_calls',
            'Calls made for the whole fleet, by duty and status',
            'call',
        )
        self.listing = ListingCounters(self.registry)
        self.unexamined_requests = Counter(
            'spanfall_unexamined_requests',
            'Requests without an answer whose upstream was not examined',
            registry=self.registry,
        )
        self.dropped_logs = Counter(
            'spanfall_dropped_log_lines',
            'Log lines left out, because there were too many',
            registry=self.registry,
        )
        self.open_requests = Gauge(
            'spanfall_open_requests',
            'Requests that callers wait for',
            registry=self.registry,
        )
        self.first_part = Histogram(
            'spanfall_first_part_seconds',
            'Time from request to the first part of its answer',
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )

    def _labelled(self, name: str, text: str, label: str) -> Counter:
        return labelled_counter(self.registry, name, text, label)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(name, text, ['service'], registry=self.registry)
