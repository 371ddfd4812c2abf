"""Define and encode the messages between an entry and the home (CBOR)."""

import cbor2
import msgspec
from spanfall_core.gateway.directory import ListedUpstream
from spanfall_core.gateway.fleet import EntryReport, FleetTotals

#: Most bytes of one message.
MESSAGE_BYTES = 4_194_304


class ReportMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """Carry the report of an entry and what it knows already."""

    report: EntryReport
    configuration_revision: int = 0
    #: Digest of the entry's table of upstreams.
    upstreams_digest: int = 0


class ConfigurationPart(msgspec.Struct, frozen=True):
    """Carry a configuration as the store holds it."""

    revision: int
    source: bytes


class UpstreamsPart(msgspec.Struct, frozen=True):
    """Carry a whole listing of upstreams."""

    revision: int
    rows: list[ListedUpstream]


class TableMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """Carry the home's table to one entry."""

    epoch: int
    totals: FleetTotals
    #: Revision of the configuration that the home has in force.
    configuration_revision: int
    #: Seconds since that was last proved the newest.
    proof_age: float
    true_time: float
    #: Units that each workspace may still spend.
    levels: dict[str, float] = {}
    #: Whether the entry should look for another home.
    resigned: bool = False
    configuration: ConfigurationPart | None = None
    upstreams: UpstreamsPart | None = None


def encode(message: msgspec.Struct) -> bytes:
    """Return the bytes of a message."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode_report(received: bytes) -> ReportMessage:
    """Read a report.

    Raises:
        ValueError: the bytes are no report.
    """
    return msgspec.convert(_plain(received), ReportMessage)


def decode_table(received: bytes) -> TableMessage:
    """Read a table.

    Raises:
        ValueError: the bytes are no table.
    """
    return msgspec.convert(_plain(received), TableMessage)


def _plain(received: bytes) -> object:
    try:
        return cbor2.loads(received)
    except cbor2.CBORDecodeError as exc:
        raise ValueError(f'not CBOR: {exc}') from exc
