"""Store what upstreams state about themselves in their answers.

An upstream may state a rate limit for all entries together, and how many
rejections in a second it survives. Both apply until it states another value or
none. It may state that it is leaving, which applies to its lifetime. Nodes exchange statements with their age; of two statements on
the same limit the later one applies.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum, unique
from itertools import takewhile

from spanfall_core.gateway.known.lifetimes import Lifetime
from spanfall_core.gateway.known.stated_values import StatedValue, StatedValues

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
    #: Rejections in a second, over all entries, above which it ends.
    rejections: float | None = None
    #: Whether it stated such a number that cannot be parsed, which is ignored.
    is_rejections_invalid: bool = False
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
    #: The same of the rejections that it survives.
    rejections: float | None = None
    rejections_age: float | None = None


@unique
class StatementChange(StrEnum):
    """Classify the new information in an answer."""

    LIMIT = 'limit'
    NO_LIMIT = 'no-limit'
    INVALID_LIMIT = 'unread-limit'
    BRITTLE = 'brittle'
    NOT_BRITTLE = 'not-brittle'
    LEAVES = 'leaves'
    BACK_OFF = 'back-off'


#: Changes of a value, stated and withdrawn.
RATE_CHANGES = (StatementChange.LIMIT, StatementChange.NO_LIMIT)
BRITTLE_CHANGES = (StatementChange.BRITTLE, StatementChange.NOT_BRITTLE)

KnownStatements = dict[Lifetime, KnownStatement]


@dataclass(slots=True)
class Statements:
    """Store the statements of upstreams, in the order of their changes."""

    #: Incremented with each change, so that others can request later ones.
    version: int = 0
    #: Upstreams that stated that they are leaving.
    leaving: set[Lifetime] = field(default_factory=set)
    _rates: StatedValues = field(default_factory=StatedValues)
    _rejections: StatedValues = field(default_factory=StatedValues)
    #: Version of the last change of each upstream, oldest first.
    _changed: dict[Lifetime, int] = field(default_factory=dict)

    @property
    def rates(self) -> dict[Lifetime, float]:
        """Return the requests per second of upstreams that state a limit now."""
        return self._rates.current

    @property
    def rejections(self) -> dict[Lifetime, float]:
        """Return the rejections in a second that brittle upstreams survive."""
        return self._rejections.current

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
        received = (
            (
                self._rates,
                statement.rate,
                statement.is_rate_invalid,
                RATE_CHANGES,
            ),
            (
                self._rejections,
                statement.rejections,
                statement.is_rejections_invalid,
                BRITTLE_CHANGES,
            ),
        )
        for known, stated, is_invalid, kinds in received:
            if is_invalid:
                changes.append(StatementChange.INVALID_LIMIT)
                continue
            is_withdrawn = is_signed and known.is_withdrawn(lifetime, sent_at)
            if stated is None and not is_withdrawn:
                continue
            if self._learn(known, lifetime, StatedValue(stated, now)):
                changes.append(kinds[stated is None])
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
        self._rates.forget(lifetime)
        self._rejections.forget(lifetime)
        self.leaving.discard(lifetime)
        self._changed.pop(lifetime, None)

    def _learn_statement(
        self,
        lifetime: Lifetime,
        statement: KnownStatement,
        now: float,
    ) -> bool:
        is_new = statement.leaves and self._learn_leaving(lifetime)
        pairs = (
            (self._rates, statement.rate, statement.rate_age),
            (
                self._rejections,
                statement.rejections,
                statement.rejections_age,
            ),
        )
        for known, stated, age in pairs:
            if age is not None:
                newer = StatedValue(stated, now - age)
                is_new = self._learn(known, lifetime, newer) or is_new
        return is_new

    def _learn_leaving(self, lifetime: Lifetime) -> bool:
        if lifetime in self.leaving:
            return False
        self.leaving.add(lifetime)
        self._note_changed(lifetime)
        return True

    def _learn(
        self, known: StatedValues, lifetime: Lifetime, stated: StatedValue
    ) -> bool:
        is_new = known.learn(lifetime, stated)
        if is_new:
            self._note_changed(lifetime)
        return is_new

    def _note_changed(self, lifetime: Lifetime) -> None:
        self.version += 1
        self._changed.pop(lifetime, None)
        self._changed[lifetime] = self.version
        if len(self._changed) > MAX_LIFETIMES:
            self.forget(next(iter(self._changed)))

    def _known_statement(
        self, lifetime: Lifetime, now: float
    ) -> KnownStatement:
        rate, rate_age = self._rates.known(lifetime, now)
        rejections, rejections_age = self._rejections.known(lifetime, now)
        return KnownStatement(
            rate,
            rate_age,
            lifetime in self.leaving,
            rejections,
            rejections_age,
        )


def read_decimal(text: bytes) -> float | None:
    """Parse a non-negative decimal number; return None if it is not one."""
    found = _DECIMAL.fullmatch(text.strip())
    return None if found is None else float(found.group())
