"""Name the standings of requests and what probes of upstreams say."""

from enum import StrEnum, unique


@unique
class Standing(StrEnum):
    """State whether and how a request may be sent, the freest first."""

    #: No restriction.
    FREE = 'free'
    #: No restriction; entries report how some of its runs end.
    OBSERVED = 'observed'
    #: An upstream may have crashed under it; entries report how the run ends.
    WATCHED = 'watched'
    #: It is sent only as the one running trial of its service.
    SUSPECT = 'suspect'
    #: It is not sent until its suspected crashes are settled.
    HELD = 'held'
    #: It is refused until the quarantine expires.
    QUARANTINED = 'quarantined'


#: Standings with which a request is sent like any other.
UNRESTRICTED = frozenset((Standing.FREE, Standing.OBSERVED))
#: Numbers by which standings are compared.
SEVERITY = {standing: number for number, standing in enumerate(Standing)}


@unique
class ProbeResult(StrEnum):
    """State what a probe says about an upstream after a send to it broke."""

    #: Its address refuses connections: no process listens there.
    ENDED = 'ended'
    #: Its address does not answer, or closes each connection it accepts.
    NO_ANSWER = 'no-answer'
    #: Its address accepts connections, but possibly those of a new process: no
    #: earlier connection is open any more.
    ACCEPTS_CONNECTIONS = 'takes-connections'
    #: An earlier connection to it is still open.
    ALIVE = 'lives'
    #: Only a peer reaches it, or no node does: the path broke.
    NO_PATH = 'no-path'
