"""Define and encode the messages between an entry and the home (CBOR).

Each message carries its type as a tag, so that several may be in flight on one
link.
"""

import cbor2
import msgspec
from spanfall_core.gateway.contention.waiting import AdmissionTerms
from spanfall_core.gateway.crashes.standings import Standing
from spanfall_core.gateway.known.engine_model import PrefillSpeed
from spanfall_core.gateway.known.fleet import EntryReport, FleetTotals
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.peers import Peer
from spanfall_core.gateway.known.reporting import REPORT_PERIOD
from spanfall_core.gateway.known.stream_origins import OriginGroup, StreamKey
from spanfall_core.gateway.known.unit_reports import AllocatedUnits
from spanfall_core.gateway.known.upstream_speeds import Factors, SpeedSample
from spanfall_core.gateway.orders.reclaims import SeenReclaims
from spanfall_core.gateway.routing.estimates import RoutingRequest
from spanfall_core.gateway.routing.grants import EntryLoad, Grant

from spanfall_node.gateway.links.contention_messages import (
    HeldTurn,
    HoldsEndedMessage,
    Rejection,
    TurnMessage,
    WithdrawMessage,
)
from spanfall_node.gateway.links.crash_messages import (
    CrashReport,
    QuarantineMessage,
    WatchedRun,
)
from spanfall_node.gateway.links.origin_messages import (
    OriginAnswer,
    OriginQuestion,
    OriginsMessage,
)
from spanfall_node.gateway.links.peer_messages import PeersPart
from spanfall_node.gateway.links.succession_messages import (
    FarewellMessage,
    ResignMessage,
    StoreQuestion,
    StoreReached,
    SuccessorMessage,
)
from spanfall_node.gateway.links.unit_messages import (
    UnitsMessage,
    UnitsRequest,
)
from spanfall_node.gateway.links.word_messages import (
    StatementsPart,
    StatementsReport,
)


class ReportMessage(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    tag='report',
):
    """Carry the report of an entry and the versions that it has."""

    report: EntryReport
    configuration_version: int = 0
    #: Digest and revision of the upstream listing that the entry has.
    upstreams_digest: int = 0
    upstreams_revision: int = 0
    #: Whether the totals over the other entries are requested.
    wants_totals: bool = True
    #: Number of the last grant that the report's counts include.
    seen: int = 0
    #: Capacity of the entry's host to serve as home, in cores.
    strength: float = 0
    #: Version of the home's upstream statements that the entry has.
    words_version: int = 0
    #: Services whose upstreams share hosts with others.
    shared_host_services: tuple[str, ...] = ()
    #: Where the entry connects to upstreams for others; sent once on a link.
    peer: Peer | None = None
    #: Whether it does not, because it reaches none or is stopping.
    refuses_tunnels: bool = False
    #: Version of the home's peers that the entry has.
    peers_version: int = 0
    #: Where the entry accepts links; sent once on a link.
    links_address: str = ''


class LoadMessage(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    tag='load',
):
    """Carry the current load of an entry."""

    entry: str
    load: EntryLoad
    #: What the entry learned of upstreams since its last such message.
    speeds: tuple[SpeedSample, ...] = ()
    #: Seconds for which upstreams asked this entry to back off, if new.
    backoffs: dict[str, float] = {}
    #: Brittle upstreams that rejected requests since its last such message.
    rejections: tuple[str, ...] = ()
    #: Streams that have begun there and that the store has to name.
    begun: tuple[OriginGroup, ...] = ()


class GrantRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Describe a request that needs an upstream."""

    service: str
    ask: RoutingRequest
    #: Terms on which it competes with others; None if it does not.
    terms: AdmissionTerms | None = None
    #: Key of the stream that it begins, if a caller may resume it, and the
    #: seconds for which it may.
    stream: tuple[StreamKey, float] | None = None


class GrantRequestMessage(
    msgspec.Struct, frozen=True, omit_defaults=True, tag='ask'
):
    """Ask the home which upstream is to serve a request."""

    entry: str
    number: int
    request: GrantRequest
    load: EntryLoad
    #: As in LoadMessage: a retry must not precede what its rejection shows.
    rejections: tuple[str, ...] = ()


class GrantMessage(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    tag='grant',
):
    """Answer a grant request; without a grant, no upstream is available.

    If the standing is not free, the request may not be sent, or not now.
    """

    number: int
    grant: Grant | None = None
    standing: Standing = Standing.FREE
    #: Seconds until an upstream that is at its own limit has capacity again;
    #: 0 if no upstream states such a time.
    wait: float = 0
    #: Set if the request is held, or rejected, while others compete.
    held: HeldTurn | None = None
    rejected: Rejection | None = None
    #: Whether requests wait for upstreams of the service.
    is_contended: bool = False


class ConfigurationPart(msgspec.Struct, frozen=True):
    """Carry a compressed configuration."""

    version: int
    packed: bytes


class UpstreamsPart(msgspec.Struct, frozen=True, omit_defaults=True):
    """Carry a listing of upstreams, or its changes."""

    revision: int
    rows: tuple[ListedUpstream, ...]
    removed: tuple[str, ...] = ()
    #: Whether this is a delta, so that the entry keeps its other rows.
    is_change: bool = False
    #: Digest of all rows of the home.
    digest: int = 0


class TableMessage(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    tag='table',
):
    """Carry the home's table to one entry."""

    epoch: int
    #: Version of the configuration in force at the home.
    configuration_version: int
    #: Seconds since this version was last confirmed to be the newest.
    proof_age: float
    #: Seconds since the start of the home's last read of the upstreams.
    upstreams_age: float
    true_time: float
    #: Number of entries in the fleet, and seconds until this entry's next
    #: report.
    entries: int = 1
    report_after: float = REPORT_PERIOD
    #: Totals over the other entries, for an entry that has to decide without
    #: the home.
    totals: FleetTotals | None = None
    #: Prefill speed of the engines of each service.
    speeds: dict[str, PrefillSpeed] = {}
    #: Upstreams that each service needs, for the next home.
    needs: dict[str, float] = {}
    #: Reclaims that homes have seen, by service, for the next home.
    reclaims: dict[str, SeenReclaims] = {}
    #: Units that this entry may spend; None if the sender may not allocate
    #: any.
    given: AllocatedUnits | None = None
    #: Whether the home has resigned and the entry should look up another one.
    resigned: bool = False
    configuration: ConfigurationPart | None = None
    upstreams: UpstreamsPart | None = None
    words: StatementsPart | None = None
    peers: PeersPart | None = None
    #: Addresses of some entries that know what began streams, if changed.
    origin_keepers: tuple[str, ...] | None = None
    #: Services whose upstreams share hosts with others.
    shared_host_services: tuple[str, ...] = ()
    #: Duration of work at upstreams, relative to the usual, where it differs;
    #: sent with the totals.
    upstream_factors: Factors = {}


def encode(message: msgspec.Struct) -> bytes:
    """Return the CBOR encoding of a message."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


#: Exceptions that decoding of arbitrary bytes may raise.
DECODE_ERRORS = (
    cbor2.CBORDecodeError,
    ArithmeticError,
    LookupError,
    MemoryError,
    RecursionError,
    TypeError,
    ValueError,
)

FromEntry = (
    ReportMessage
    | LoadMessage
    | GrantRequestMessage
    | UnitsRequest
    | FarewellMessage
    | StoreReached
    | CrashReport
    | WatchedRun
    | StatementsReport
    | WithdrawMessage
    | OriginsMessage
    | OriginQuestion
)
FromHome = (
    TableMessage
    | GrantMessage
    | UnitsMessage
    | StoreQuestion
    | ResignMessage
    | SuccessorMessage
    | QuarantineMessage
    | TurnMessage
    | HoldsEndedMessage
    | OriginsMessage
    | OriginAnswer
)


def decode_from_entry(data: bytes) -> FromEntry:
    """Decode a message of an entry.

    Raises:
        ValueError: the bytes are not a valid message.
    """
    return msgspec.convert(_decode_cbor(data), FromEntry)


def decode_from_home(data: bytes) -> FromHome:
    """Decode a message of the home.

    Raises:
        ValueError: the bytes are not a valid message.
    """
    return msgspec.convert(_decode_cbor(data), FromHome)


def _decode_cbor(data: bytes) -> object:
    try:
        return cbor2.loads(data)
    except DECODE_ERRORS as exc:
        raise ValueError(f'invalid CBOR: {exc!r}') from exc
