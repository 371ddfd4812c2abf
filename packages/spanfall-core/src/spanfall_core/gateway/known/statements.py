"""Keep what upstreams say of themselves in their answers.

An upstream may name a limit over all entries, which stands until it names
another one or none, and may say that it leaves, which holds for its lifetime.
Nodes tell each other by age; of two words on one limit the later one counts.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum, unique
from itertools import takewhile

from spanfall_core.gateway.known.lifetimes import Lifetime

#: Lifetimes of which a word is kept; those that spoke longest ago go first.
MAX_LIFETIMES = 16_384
#: Digits of a decimal number that is read; more state no rate and no time.
MAX_DIGITS = 9

_DECIMAL = re.compile(rb'(\d{1,%d})(\.\d{0,%d})?' % (MAX_DIGITS, MAX_DIGITS))


@dataclass(frozen=True, slots=True)
class Statement:
    """Hold what one answer says of its upstream."""

    #: Requests a second that it takes from all entries together.
    rate: float | None = None
    #: Whether it named a limit that cannot be read, which says nothing.
    is_rate_invalid: bool = False
    leaves: bool = False
    #: Seconds for which it wants nothing from the entry that it answered.
    backoff: float = 0


@dataclass(frozen=True, slots=True)
class KnownStatement:
    """State what is known of one upstream, as nodes tell it each other."""

    #: None: it names no limit.
    rate: float | None = None
    #: Seconds since that was heard; None: never.
    rate_age: float | None = None
    leaves: bool = False


@unique
class StatementChange(StrEnum):
    """Name what an answer tells that was not known."""

    LIMIT = 'limit'
    NO_LIMIT = 'no-limit'
    INVALID_LIMIT = 'unread-limit'
    LEAVES = 'leaves'
    BACK_OFF = 'back-off'


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """Hold the last word of an upstream on its limit."""

    rate: float | None
    received_at: float


KnownStatements = dict[Lifetime, KnownStatement]


@dataclass(slots=True)
class Statements:
    """Hold what upstreams said, and in which order this node learned it."""

    #: Grows with each change, so that others can ask what is new.
    version: int = 0
    #: Requests a second of those that name a limit now.
    rates: dict[Lifetime, float] = field(default_factory=dict)
    #: Those that said that they leave.
    leaving: set[Lifetime] = field(default_factory=set)
    _limits: dict[Lifetime, StatedLimit] = field(default_factory=dict)
    #: Version of the last change of each, oldest first.
    _changed: dict[Lifetime, int] = field(default_factory=dict)

    def record(
        self,
        lifetime: Lifetime,
        statement: Statement,
        sent_at: float,
        now: float,
        *,
        is_signed: bool,
    ) -> list[StatementChange]:
        """Take what an answer says that arrives now; return what is new.

        ``sent_at`` is when its request was sent. An answer without a limit
        takes it back if the upstream ran a request that was sent after the
        limit was known here.
        """
        changes: list[StatementChange] = []
        if statement.leaves and self._learn_leaving(lifetime):
            changes.append(StatementChange.LEAVES)
        if statement.is_rate_invalid:
            return [*changes, StatementChange.INVALID_LIMIT]
        if statement.rate is not None:
            if self._learn_rate(lifetime, StatedLimit(statement.rate, now)):
                changes.append(StatementChange.LIMIT)
        elif is_signed and self._is_withdrawn(lifetime, sent_at):
            self._learn_rate(lifetime, StatedLimit(None, now))
            changes.append(StatementChange.NO_LIMIT)
        return changes

    def learn(self, statements: KnownStatements, now: float) -> list[Lifetime]:
        """Take what another node knows; return what had not been known."""
        return [
            lifetime
            for lifetime, statement in statements.items()
            if self._learn_statement(lifetime, statement, now)
        ]

    def known_statements(
        self, lifetimes: Iterable[Lifetime], now: float
    ) -> KnownStatements:
        """Return what is known of some upstreams."""
        return {one: self._known_statement(one, now) for one in lifetimes}

    def changes_since(self, version: int, now: float) -> KnownStatements:
        """Return what has changed since a version of this table."""
        newest_first = reversed(self._changed.items())
        changed = takewhile(lambda row: row[1] > version, newest_first)
        return self.known_statements((lifetime for lifetime, _ in changed), now)

    def forget(self, lifetime: Lifetime) -> None:
        """Drop what a lifetime said that is over for good."""
        self.rates.pop(lifetime, None)
        self._limits.pop(lifetime, None)
        self.leaving.discard(lifetime)
        self._changed.pop(lifetime, None)

    def _is_withdrawn(self, lifetime: Lifetime, sent_at: float) -> bool:
        known = self._limits.get(lifetime)
        if known is None or known.rate is None:
            return False
        return sent_at >= known.received_at

    def _learn_statement(
        self,
        lifetime: Lifetime,
        statement: KnownStatement,
        now: float,
    ) -> bool:
        is_new = statement.leaves and self._learn_leaving(lifetime)
        if statement.rate_age is None:
            return is_new
        limit = StatedLimit(statement.rate, now - statement.rate_age)
        return self._learn_rate(lifetime, limit) or is_new

    def _learn_leaving(self, lifetime: Lifetime) -> bool:
        if lifetime in self.leaving:
            return False
        self.leaving.add(lifetime)
        self._note_changed(lifetime)
        return True

    def _learn_rate(self, lifetime: Lifetime, limit: StatedLimit) -> bool:
        """Take a later word on a limit; tell whether it says another rate."""
        known = self._limits.get(lifetime)
        if known is not None and limit.received_at <= known.received_at:
            return False
        if known is None and limit.rate is None:
            return False
        is_new = known is None or known.rate != limit.rate
        if not is_new:
            # Only the first word of a rate counts as its time, so that words
            # that nodes have of each other agree.
            return False
        self._limits[lifetime] = limit
        if limit.rate is None:
            self.rates.pop(lifetime, None)
        else:
            self.rates[lifetime] = limit.rate
        self._note_changed(lifetime)
        return True

    def _note_changed(self, lifetime: Lifetime) -> None:
        self.version += 1
        self._changed.pop(lifetime, None)
        self._changed[lifetime] = self.version
        if len(self._changed) > MAX_LIFETIMES:
            self.forget(next(iter(self._changed)))

    def _known_statement(
        self, lifetime: Lifetime, now: float
    ) -> KnownStatement:
        limit = self._limits.get(lifetime)
        leaves = lifetime in self.leaving
        if limit is None:
            return KnownStatement(leaves=leaves)
        return KnownStatement(limit.rate, now - limit.received_at, leaves)


def read_decimal(text: bytes) -> float | None:
    """Read a decimal number that is not negative; None: it is none."""
    found = _DECIMAL.fullmatch(text.strip())
    return None if found is None else float(found.group())
