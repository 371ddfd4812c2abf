"""Store what upstreams state about themselves in their answers.

An upstream may state a limit for all entries together, which applies until it
states another limit or none, and may state that it is leaving, which applies
to its lifetime. Nodes exchange statements with their age; of two statements on
the same limit the later one applies.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum, unique
from itertools import takewhile

from spanfall_core.gateway.known.lifetimes import Lifetime

#: Maximum number of lifetimes kept; those with the oldest change go first.
MAX_LIFETIMES = 16_384
#: Maximum digits before and after the decimal point; longer numbers are not a
#: valid rate or time.
MAX_DIGITS = 9

_DECIMAL = re.compile(rb'(\d{1,%d})(\.\d{0,%d})?' % (MAX_DIGITS, MAX_DIGITS))


@dataclass(frozen=True, slots=True)
class Statement:
    """Represent what one answer states about its upstream."""

    #: Requests per second that it accepts from all entries together.
    rate: float | None = None
    #: Whether it stated a limit that cannot be parsed, which is ignored.
    is_rate_invalid: bool = False
    leaves: bool = False
    #: Seconds for which it accepts no requests from the entry that it
    #: answered.
    backoff: float = 0


@dataclass(frozen=True, slots=True)
class KnownStatement:
    """Represent what is known of one upstream, as exchanged between nodes."""

    #: None if it states no limit.
    rate: float | None = None
    #: Seconds since the rate was received; None if never.
    rate_age: float | None = None
    leaves: bool = False


@unique
class StatementChange(StrEnum):
    """Classify the new information in an answer."""

    LIMIT = 'limit'
    NO_LIMIT = 'no-limit'
    INVALID_LIMIT = 'unread-limit'
    LEAVES = 'leaves'
    BACK_OFF = 'back-off'


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """Store the latest limit that an upstream stated."""

    rate: float | None
    received_at: float


KnownStatements = dict[Lifetime, KnownStatement]


@dataclass(slots=True)
class Statements:
    """Store the statements of upstreams, in the order of their changes."""

    #: Incremented with each change, so that others can request later ones.
    version: int = 0
    #: Requests per second of the upstreams that state a limit now.
    rates: dict[Lifetime, float] = field(default_factory=dict)
    #: Upstreams that stated that they are leaving.
    leaving: set[Lifetime] = field(default_factory=set)
    _limits: dict[Lifetime, StatedLimit] = field(default_factory=dict)
    #: Version of the last change of each upstream, oldest first.
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
        """Record the statement of an answer received now; return what is new.

        ``sent_at`` is when the request was sent. An answer without a limit
        withdraws the limit if it is signed, which shows that the upstream ran
        the request, and the request was sent after the limit was received.
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

    def merge(self, statements: KnownStatements, now: float) -> list[Lifetime]:
        """Merge the statements of another node; return what changed."""
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
        """Drop the statements of a lifetime that has ended."""
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
        """Apply a later limit; return whether its rate is new."""
        known = self._limits.get(lifetime)
        if known is not None and limit.received_at <= known.received_at:
            return False
        if known is None and limit.rate is None:
            return False
        is_new = known is None or known.rate != limit.rate
        if not is_new:
            # Only the first statement of a rate sets its time, so that the
            # copies that nodes have of each other's statements agree.
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
    """Parse a non-negative decimal number; return None if it is not one."""
    found = _DECIMAL.fullmatch(text.strip())
    return None if found is None else float(found.group())
