"""Enumerate why a request is refused, retried or a frame is dropped.

The values are metric labels and the ``reason`` member of problem documents,
so a value is never renamed.
"""

from enum import StrEnum, unique


@unique
class RefusalReason(StrEnum):
    """Name each cause for which a caller gets no answer."""

    BAD_REQUEST = 'bad-request'
    BODY_TOO_LARGE = 'body-too-large'
    BODY_TIMEOUT = 'body-timeout'
    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    UNKNOWN_SERVICE = 'unknown-service'
    UNKNOWN_REQUEST = 'unknown-request'
    RATE_LIMITED = 'rate-limited'
    CONCURRENCY_LIMITED = 'concurrency-limited'
    QUEUE_FULL = 'queue-full'
    DEADLINE = 'deadline'
    NO_UPSTREAM = 'no-upstream'
    #: All that could serve name limits that are used up for the moment, or asked
    #: for a back-off.
    UPSTREAMS_LIMITED = 'upstreams-limited'
    NO_HOME = 'no-home'
    NODE_DRAINING = 'node-draining'
    NODE_NOT_READY = 'node-not-ready'
    STORE_UNAVAILABLE = 'store-unavailable'
    STALE_CONFIGURATION = 'stale-configuration'
    DUPLICATE_KEY = 'duplicate-key'
    RETRIES_EXHAUSTED = 'retries-exhausted'
    UPSTREAM_FAILED = 'upstream-failed'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    #: Upstreams ended each time that they ran it.
    ENDS_UPSTREAMS = 'ends-upstreams'
    #: Two upstreams ended while they ran it, and another such one is tried.
    TRIED_LATER = 'tried-later'
    CANCELLED = 'cancelled'
    REVISION_CONFLICT = 'revision-conflict'
    REVISION_REQUIRED = 'revision-required'
    BAD_SELECTOR = 'bad-selector'
    UNKNOWN_OBJECT = 'unknown-object'


@unique
class RetryReason(StrEnum):
    """Name each cause for which a request is sent again."""

    CONNECT_FAILED = 'connect-failed'
    UPSTREAM_REFUSED = 'upstream-refused'
    UPSTREAM_ERROR = 'upstream-error'
    STREAM_BROKEN = 'stream-broken'
    UPSTREAM_TIMEOUT = 'upstream-timeout'
    UPSTREAM_LEAVING = 'upstream-leaving'
    HOME_LOST = 'home-lost'
    HOME_DRAINING = 'home-draining'
    HEDGE = 'hedge'


@unique
class DropReason(StrEnum):
    """Name each cause for which a frame between nodes is dropped."""

    UNKNOWN_REQUEST = 'unknown-request'
    OLD_ATTEMPT = 'old-attempt'
    DUPLICATE_OFFSET = 'duplicate-offset'
    OFFSET_GAP = 'offset-gap'
    MALFORMED = 'malformed'


@unique
class RunState(StrEnum):
    """State whether a refused request may have run at an upstream."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
