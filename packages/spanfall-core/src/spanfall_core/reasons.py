"""Enumerate the reasons for refusals, retries and dropped frames.

The values appear as metric labels and as the ``reason`` member of problem
documents, so they must not be renamed.
"""

from enum import StrEnum, unique


@unique
class RefusalReason(StrEnum):
    """List the reasons for which a request is refused."""

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
    #: The upstreams cannot serve the request before its deadline.
    NO_ROOM = 'no-room'
    #: The caller came back before the time that it was told.
    EARLY_RETURN = 'early-return'
    DEADLINE = 'deadline'
    NO_UPSTREAM = 'no-upstream'
    #: Every eligible upstream has reached the rate limit it announced, or has
    #: asked for a backoff.
    UPSTREAMS_LIMITED = 'upstreams-limited'
    #: It is not known which software began the stream to be resumed.
    ORIGIN_UNKNOWN = 'origin-unknown'
    #: No upstream of the software that began the stream can continue it.
    VERSION_GONE = 'version-gone'
    NO_HOME = 'no-home'
    NODE_DRAINING = 'node-draining'
    #: The node holds as many bytes of bodies as it has memory for.
    NODE_MEMORY = 'node-memory'
    #: Other requests that cost much processor time leave no turn for this one.
    NODE_BUSY = 'node-busy'
    NODE_NOT_READY = 'node-not-ready'
    STORE_UNAVAILABLE = 'store-unavailable'
    STALE_CONFIGURATION = 'stale-configuration'
    DUPLICATE_KEY = 'duplicate-key'
    RETRIES_EXHAUSTED = 'retries-exhausted'
    UPSTREAM_FAILED = 'upstream-failed'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    #: An unexpected error occurred in the node; the log has its traceback.
    INTERNAL_ERROR = 'internal-error'
    #: Each upstream that ran the request crashed.
    ENDS_UPSTREAMS = 'ends-upstreams'
    #: Two upstreams crashed while they ran the request, and another such
    #: request is being tried.
    TRIED_LATER = 'tried-later'
    CANCELLED = 'cancelled'
    REVISION_CONFLICT = 'revision-conflict'
    REVISION_REQUIRED = 'revision-required'
    BAD_SELECTOR = 'bad-selector'
    UNKNOWN_OBJECT = 'unknown-object'


@unique
class RetryReason(StrEnum):
    """List the reasons for which a request is retried."""

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
    """List the reasons for which a frame between nodes is dropped."""

    UNKNOWN_REQUEST = 'unknown-request'
    OLD_ATTEMPT = 'old-attempt'
    DUPLICATE_OFFSET = 'duplicate-offset'
    OFFSET_GAP = 'offset-gap'
    MALFORMED = 'malformed'


@unique
class RunState(StrEnum):
    """Tell whether a refused request may have run at an upstream."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
