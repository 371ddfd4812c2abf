"""Define the messages that carry the statements of upstreams."""

import msgspec
from spanfall_core.gateway.known.statements import KnownStatements


class StatementsReport(msgspec.Struct, frozen=True, tag='words'):
    """Send the home new statements; on a new link, all that an entry has."""

    words: KnownStatements


class StatementsPart(msgspec.Struct, frozen=True):
    """Send an entry the statements changed since the version that it has."""

    #: Version of the home's table that includes these statements.
    version: int
    words: KnownStatements
