"""Define the messages about upstreams that crashed during requests."""

from enum import StrEnum, unique

import msgspec
from spanfall_core.gateway.known.identity import RequestIdentity
from spanfall_core.gateway.known.lifetimes import Lifetime

#: Remaining seconds of quarantine by request, during which it is not sent.
Quarantined = dict[RequestIdentity, float]


class CrashReport(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    tag='crashes',
):
    """Report crashes to the home; on a new link, all that the entry has."""

    #: Crashed upstreams by the request that was running there.
    ends: dict[RequestIdentity, tuple[Lifetime, ...]] = {}
    quarantined: Quarantined = {}
    #: Whether the home is to answer with all quarantined requests.
    is_first: bool = False
    #: Upstreams that may have crashed, and whether no process answers at their
    #: address.
    doubts: dict[RequestIdentity, dict[Lifetime, bool]] = {}


@unique
class RunStage(StrEnum):
    """Name the progress of a watched run."""

    #: The answer has begun.
    BEGAN = 'began'
    #: The run ended with an incomplete answer, but the upstream is alive.
    INCOMPLETE = 'over'
    #: The answer was received completely.
    COMPLETE = 'whole'


class WatchedRun(msgspec.Struct, frozen=True, tag='watched-run'):
    """Report to the home the progress of a request that it watches."""

    identity: RequestIdentity
    stage: RunStage


class QuarantineMessage(msgspec.Struct, frozen=True, tag='quarantine'):
    """Send an entry the requests that must not be sent to upstreams."""

    quarantined: Quarantined
