"""Hold what a node knows of what upstreams say of themselves.

Each entry tells the home at once what it heard in an answer, and all it knows
to each new home; the home tells all others with their tables.
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
from spanfall_core.gateway.limits.permits import Permits

logger = logging.getLogger(__name__)

#: What the other nodes are to know.
TOLD = frozenset(
    (StatementChange.LIMIT, StatementChange.NO_LIMIT, StatementChange.LEAVES)
)


@dataclass(slots=True)
class UpstreamWords:
    """Hold the words of upstreams and, as the home, the permits."""

    table: Statements = field(default_factory=Statements)
    permits: Permits = field(default_factory=Permits)
    #: What upstreams ask of this node alone.
    backoffs: Backoffs = field(default_factory=Backoffs)
    #: Upstreams of which this node heard something that the home may not know.
    untold: dict[Lifetime, None] = field(default_factory=dict)
    #: Set, and replaced, as there is another one.
    heard: anyio.Event = field(default_factory=anyio.Event)

    def hear(
        self,
        lifetime: Lifetime,
        said: Statement,
        sent_at: float,
        now: float,
        *,
        is_signed: bool,
    ) -> list[StatementChange]:
        """Take what an answer says that arrives now; return what is new."""
        if said.backoff:
            self.backoffs.record(lifetime, said.backoff, now)
        news = self.table.record(
            lifetime,
            said,
            sent_at,
            now,
            is_signed=is_signed,
        )
        if TOLD.intersection(news):
            self._follow(lifetime, now)
            self.untold[lifetime] = None
            self.heard.set()
            self.heard = anyio.Event()
        return news

    def learn(self, words: KnownStatements, now: float) -> list[Lifetime]:
        """Take what another node knows; return what had not been known."""
        news = self.table.merge(words, now)
        for lifetime in news:
            logger.debug(
                'Another node says of %s: %s', lifetime, words[lifetime]
            )
            self._follow(lifetime, now)
        return news

    def take_untold(self, now: float) -> KnownStatements:
        """Return what the home may not know, once."""
        untold = self.untold
        self.untold = {}
        return self.table.known_statements(untold, now)

    def begin_tenure(self, now: float) -> None:
        """Give permits as a home that begins: there are none yet."""
        self.permits = Permits()
        for lifetime, rate in self.table.rates.items():
            self.permits.set_rate(lifetime, rate, now)

    def forget(self, lifetime: Lifetime, now: float) -> None:
        """Drop what an upstream said that is over for good."""
        self.table.forget(lifetime)
        self.untold.pop(lifetime, None)
        self.permits.set_rate(lifetime, None, now)

    def _follow(self, lifetime: Lifetime, now: float) -> None:
        self.permits.set_rate(lifetime, self.table.rates.get(lifetime), now)
