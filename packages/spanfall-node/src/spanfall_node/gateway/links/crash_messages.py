"""Define the messages about upstreams that crashed during requests."""

from enum import StrEnum, unique

import msgspec
from spanfall_core.gateway.crashes.evidence import BrokenRun
from spanfall_core.gateway.crashes.traits import Trait
from spanfall_core.gateway.known.identity import RequestIdentity

#: Remaining seconds of quarantine by trait, during which requests with it are
#: not sent.
Quarantined = dict[Trait, float]


class Quarantines(msgspec.Struct, frozen=True):
    """Hold which traits are quarantined, and which only together."""

    quarantined: Quarantined = {}
    #: Traits without which another one is not refused.
    companions: dict[Trait, tuple[Trait, ...]] = {}


class CrashReport(Quarantines, frozen=True, omit_defaults=True, tag='crashes'):
    """Report crashes to the home; on a new link, all that the entry has."""

    runs: tuple[BrokenRun, ...] = ()
    #: Whether the home is to answer with all quarantined traits.
    is_first: bool = False


@unique
class RunStage(StrEnum):
    """Name the progress of a watched run."""

    #: The answer has begun.
    BEGAN = 'began'
    #: The answer has lasted so long that its parts do not crash upstreams.
    SOUND = 'sound'
    #: The run ended with an incomplete answer, but the upstream is alive.
    INCOMPLETE = 'over'
    #: The answer was received completely.
    COMPLETE = 'whole'


class WatchedRun(
    msgspec.Struct, frozen=True, omit_defaults=True, tag='watched-run'
):
    """Report to the home the progress of a request that it watches."""

    identity: RequestIdentity
    stage: RunStage
    #: Parts that the upstream answers, and its software version.
    parts: tuple[Trait, ...] = ()
    version: str | None = None


class QuarantineMessage(Quarantines, frozen=True, tag='quarantine'):
    """Send an entry the traits whose requests must not be sent, or not now."""

    #: Parts whose requests are sent only with the home's grant.
    suspects: tuple[Trait, ...] = ()
    #: Parts that were suspects or in quarantine and were answered since.
    released: tuple[Trait, ...] = ()
