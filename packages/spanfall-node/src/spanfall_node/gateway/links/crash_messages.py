"""Define the messages that tell under which requests upstreams ended."""

from enum import StrEnum, unique

import msgspec
from spanfall_core.gateway.known.identity import RequestIdentity
from spanfall_core.gateway.known.lifetimes import Lifetime

#: Seconds for which requests are still not to be sent.
Quarantined = dict[RequestIdentity, float]


class CrashReport(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    tag='crashes',
):
    """Tell the home what an entry knows, all of it on a new link."""

    #: Upstreams that ended, by the request that ran there.
    ends: dict[RequestIdentity, tuple[Lifetime, ...]] = {}
    quarantined: Quarantined = {}
    #: Whether the entry is to hear of all quarantined requests.
    is_first: bool = False
    #: Those that may have ended, and whether nobody answers there.
    doubts: dict[RequestIdentity, dict[Lifetime, bool]] = {}


@unique
class RunStage(StrEnum):
    """Name how far a watched run has come."""

    #: Its answer has begun.
    BEGAN = 'began'
    #: It ended, but its answer did not come whole and its upstream lives.
    INCOMPLETE = 'over'
    #: Its answer came whole.
    COMPLETE = 'whole'


class WatchedRun(msgspec.Struct, frozen=True, tag='watched-run'):
    """Tell the home how far a request has come that it watches."""

    identity: RequestIdentity
    stage: RunStage


class QuarantineMessage(msgspec.Struct, frozen=True, tag='quarantine'):
    """Tell an entry which requests are not sent any more."""

    quarantined: Quarantined
