"""Track the statements that upstreams make about themselves.

Each entry reports a new statement in a response to the home at once, and all
known statements to each new home; the home distributes them to the others with
their tables.
"""

import logging
from dataclasses import dataclass, field

import anyio
from spanfall_core.gateway.known.backoffs import Backoffs
from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.statements import (
    KnownStatements,
    Statement,
    StatementChange,
    Statements,
)
from spanfall_core.gateway.limits.brittle import BrittleRooms
from spanfall_core.gateway.limits.permits import Permits

logger = logging.getLogger(__name__)

#: Changes that are reported to the other nodes.
REPORTED_CHANGES = frozenset(
    (
        StatementChange.LIMIT,
        StatementChange.NO_LIMIT,
        StatementChange.BRITTLE,
        StatementChange.NOT_BRITTLE,
        StatementChange.LEAVES,
    ),
)


@dataclass(slots=True)
class UpstreamStatements:
    """Hold the statements of upstreams and, on the home, the permits."""

    table: Statements = field(default_factory=Statements)
    permits: Permits = field(default_factory=Permits)
    #: On the home: room of brittle upstreams that rejected requests.
    brittle_rooms: BrittleRooms = field(default_factory=BrittleRooms)
    #: Brittle upstreams that rejected requests since the last message.
    unreported_rejections: dict[Lifetime, None] = field(default_factory=dict)
    #: Back-offs that upstreams request of this node only.
    backoffs: Backoffs = field(default_factory=Backoffs)
    #: Those of them that the home may not have received yet.
    unreported_backoffs: dict[Lifetime, None] = field(default_factory=dict)
    #: On the home: back-offs that upstreams request of any node.
    fleet_backoffs: Backoffs = field(default_factory=Backoffs)
    #: Upstreams with statements that the home may not have received yet.
    unreported: dict[Lifetime, None] = field(default_factory=dict)
    #: Set and replaced when an upstream is added to ``unreported``.
    has_unreported: anyio.Event = field(default_factory=anyio.Event)

    def record(
        self,
        lifetime: Lifetime,
        received: Statement,
        sent_at: float,
        now: float,
        *,
        is_signed: bool,
    ) -> list[StatementChange]:
        """Record the statement in a response and return the changes."""
        if received.backoff:
            self.backoffs.record(lifetime, received.backoff, now)
        news = self.table.record(
            lifetime,
            received,
            sent_at,
            now,
            is_signed=is_signed,
        )
        if REPORTED_CHANGES.intersection(news):
            self._update_permit_rate(lifetime, now)
            self.unreported[lifetime] = None
            self.has_unreported.set()
            self.has_unreported = anyio.Event()
        return news

    def merge(self, words: KnownStatements, now: float) -> list[Lifetime]:
        """Merge the statements of another node; return the changed upstreams."""
        news = self.table.merge(words, now)
        for lifetime in news:
            logger.debug(
                'Statement of upstream %s, reported by another node: %s',
                lifetime,
                words[lifetime],
            )
            self._update_permit_rate(lifetime, now)
        return news

    def take_unreported(self, now: float) -> KnownStatements:
        """Return the unreported statements and mark them as reported."""
        unreported = self.unreported
        self.unreported = {}
        return self.table.known_statements(unreported, now)

    def begin_tenure(self, now: float) -> None:
        """Reset the permits at the start of a tenure as home."""
        self.permits = Permits()
        self.fleet_backoffs = Backoffs()
        self.brittle_rooms = BrittleRooms()
        for lifetime, rate in self.table.rates.items():
            self.permits.set_rate(lifetime, rate, now)

    def forget(self, lifetime: Lifetime, now: float) -> None:
        """Drop the statements of an upstream that has ended."""
        self.table.forget(lifetime)
        self.unreported.pop(lifetime, None)
        self.unreported_backoffs.pop(lifetime, None)
        self.unreported_rejections.pop(lifetime, None)
        self.brittle_rooms.forget(lifetime)
        self.permits.set_rate(lifetime, None, now)

    def _update_permit_rate(self, lifetime: Lifetime, now: float) -> None:
        self.permits.set_rate(lifetime, self.table.rates.get(lifetime), now)
