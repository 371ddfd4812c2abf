"""Define the messages that tell what upstreams say of themselves."""

import msgspec
from spanfall_core.gateway.known.statements import KnownStatements


class WordsReport(msgspec.Struct, frozen=True, tag='words'):
    """Tell the home what an entry heard, all that it knows on a new link."""

    words: KnownStatements


class WordsPart(msgspec.Struct, frozen=True):
    """Tell an entry what has changed since the version that it knows."""

    #: Version of the home's table with these words.
    version: int
    words: KnownStatements
