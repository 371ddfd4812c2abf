"""Define and encode the messages between an entry and the home (CBOR).

Each message carries its kind, so that several may be under way on one link.
"""

import cbor2
import msgspec
from spanfall_core.gateway.crashes.crashes import Standing
from spanfall_core.gateway.known.engine_model import PrefillSpeed
from spanfall_core.gateway.known.fleet import EntryReport, FleetTotals
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.reporting import REPORT_PERIOD
from spanfall_core.gateway.known.unit_reports import AllocatedUnits
from spanfall_core.gateway.routing.estimates import RoutingRequest
from spanfall_core.gateway.routing.grants import EntryLoad, Grant

from spanfall_node.gateway.links.crash_messages import (
    CrashReport,
    QuarantineMessage,
    WatchedRun,
)
from spanfall_node.gateway.links.succession_messages import (
    FarewellMessage,
    ResignMessage,
    StoreQuestion,
    StoreReached,
    SuccessorMessage,
)
from spanfall_node.gateway.links.word_messages import WordsPart, WordsReport

#: Most bytes of one message.
MESSAGE_BYTES = 4_194_304
#: Tables a second with sums over the entries, which are the largest part of
#: a table: more would fill the link of a small host.
MOST_TOTALS = 80


class ReportMessage(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    tag='report',
):
    """Carry the report of an entry and what it knows already."""

    report: EntryReport
    configuration_version: int = 0
    #: Digest of the entry's table of upstreams.
    upstreams_digest: int = 0
    #: Revision of the listing that it knows.
    upstreams_revision: int = 0
    #: Whether the sums over the other entries are wanted.
    wants_totals: bool = True
    #: Number of the last grant that the report's counts include.
    seen: int = 0
    #: How well the entry's host could bear the home, in cores.
    strength: float = 0
    #: Version of the home's words of upstreams that it knows.
    words_version: int = 0


class LoadMessage(msgspec.Struct, frozen=True, tag='load'):
    """Carry the counts of what an entry has running."""

    entry: str
    load: EntryLoad


class GrantRequest(msgspec.Struct, frozen=True):
    """Describe the request that an upstream is wanted for."""

    service: str
    ask: RoutingRequest


class AskMessage(msgspec.Struct, frozen=True, tag='ask'):
    """Ask which upstream is to serve a request."""

    entry: str
    number: int
    request: GrantRequest
    load: EntryLoad


class GrantMessage(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    tag='grant',
):
    """Answer a question; without a grant, no upstream serves.

    Unless the request is free: then it may not be sent, or not now.
    """

    number: int
    grant: Grant | None = None
    standing: Standing = Standing.FREE
    #: Seconds after which an upstream has room that has none now by its own
    #: limit; 0: none names one.
    wait: float = 0


class UnitsRequest(msgspec.Struct, frozen=True, tag='units-request'):
    """Ask for units of a workspace that a request lacks at an entry."""

    entry: str
    number: int
    workspace: str
    units: float


class UnitsMessage(msgspec.Struct, frozen=True, tag='units'):
    """Give an entry units of a workspace besides those of its table."""

    number: int
    workspace: str
    #: 0: the home has none now.
    units: float = 0


class ConfigurationPart(msgspec.Struct, frozen=True):
    """Carry a configuration, packed as it is passed on."""

    version: int
    packed: bytes


class UpstreamsPart(msgspec.Struct, frozen=True, omit_defaults=True):
    """Carry a listing of upstreams, or what of it has changed."""

    revision: int
    rows: tuple[ListedUpstream, ...]
    removed: tuple[str, ...] = ()
    #: Whether the entry keeps the other rows that it knows.
    is_change: bool = False
    #: Digest of the home's rows.
    digest: int = 0


class TableMessage(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    tag='table',
):
    """Carry the home's table to one entry."""

    epoch: int
    #: Version of the configuration that the home has in force.
    configuration_version: int
    #: Seconds since that was last proved the newest.
    proof_age: float
    #: Seconds since the home began its last read of the upstreams.
    upstreams_age: float
    true_time: float
    #: Entries of the fleet, and seconds until the next report of this one.
    entries: int = 1
    report_after: float = REPORT_PERIOD
    #: Sums over the other entries, for one that has to decide alone.
    totals: FleetTotals | None = None
    #: How fast the engines of each service read.
    speeds: dict[str, PrefillSpeed] = {}
    #: Upstreams that each service needs, for a home that follows this one.
    needs: dict[str, float] = {}
    #: Units that this entry may spend; None: the sender may not give any.
    given: AllocatedUnits | None = None
    #: Whether the entry should look for another home.
    resigned: bool = False
    configuration: ConfigurationPart | None = None
    upstreams: UpstreamsPart | None = None
    words: WordsPart | None = None


def totals_period(entries: int) -> float:
    """Return the seconds after which an entry wants new sums."""
    return entries / MOST_TOTALS


def encode(message: msgspec.Struct) -> bytes:
    """Return the bytes of a message."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


#: What bytes that no node has sent may raise.
NOT_CBOR = (
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
    | AskMessage
    | UnitsRequest
    | FarewellMessage
    | StoreReached
    | CrashReport
    | WatchedRun
    | WordsReport
)
FromHome = (
    TableMessage
    | GrantMessage
    | UnitsMessage
    | StoreQuestion
    | ResignMessage
    | SuccessorMessage
    | QuarantineMessage
)


def decode_from_entry(received: bytes) -> FromEntry:
    """Read a message of an entry.

    Raises:
        ValueError: the bytes are no such message.
    """
    return msgspec.convert(_plain(received), FromEntry)


def decode_from_home(received: bytes) -> FromHome:
    """Read a message of the home.

    Raises:
        ValueError: the bytes are no such message.
    """
    return msgspec.convert(_plain(received), FromHome)


def _plain(received: bytes) -> object:
    try:
        return cbor2.loads(received)
    except NOT_CBOR as exc:
        raise ValueError(f'not CBOR: {exc!r}') from exc
