"""Compare two ways over pairs: plays of one day with one seed by both."""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from itertools import chain, groupby
from statistics import fmean, stdev

import msgspec
from plays import Played

#: Quantiles 0.975 of Student's distribution by degrees of freedom, from 1 on;
#: beyond the last the normal one serves.
STUDENT = tuple(
    hundredths / 100
    for hundredths in (
        (1271, 430, 318, 278, 257, 245, 236, 231, 226, 223)
        + (220, 218, 216, 214, 213, 212, 211, 210, 209, 209)
    )
)
NORMAL = 1.96
#: Name of the row over all deployments.
ALL = 'all'

Pair = tuple[Played, Played]


class Difference(msgspec.Struct, frozen=True):
    """State by how much the second way is above the first, over pairs."""

    site: str
    pairs: int
    mean: float
    #: Half of the interval that holds the mean in 95 of 100 cases.
    margin: float
    #: Pairs in which the second way is above, and below.
    above: int
    below: int
    worth_first: float
    worth_second: float
    served: float
    #: Rules broken by each way, over all pairs.
    broken_first: int
    broken_second: int
    #: By how much the price of each kind moved, where it moved at all.
    prices: dict[str, float]

    @property
    def is_clear(self) -> bool:
        """Tell whether the difference lies outside the noise."""
        return abs(self.mean) > self.margin


def find_pairs(played: Iterable[Played], first: str, second: str) -> list[Pair]:
    """Return the pairs of two ways among plays."""
    by_day: dict[object, dict[str, Played]] = defaultdict(dict)
    for one in played:
        by_day[one.play.pair][one.play.way] = one
    return [
        (row[first], row[second])
        for row in by_day.values()
        if first in row and second in row
    ]


def differences(pairs: Sequence[Pair]) -> list[Difference]:
    """Return the differences for each deployment, and over all."""
    ordered = sorted(pairs, key=_site)
    by_site = [
        difference(site, list(rows)) for site, rows in groupby(ordered, _site)
    ]
    return [*by_site, difference(ALL, ordered)]


def difference(site: str, pairs: Sequence[Pair]) -> Difference:
    """Return the difference over the pairs of a deployment."""
    changes = [second.worth - first.worth for first, second in pairs]
    return Difference(
        site,
        len(pairs),
        mean=fmean(changes),
        margin=margin_of(changes),
        above=sum(change > 0 for change in changes),
        below=sum(change < 0 for change in changes),
        worth_first=fmean(first.worth for first, _ in pairs),
        worth_second=fmean(second.worth for _, second in pairs),
        served=fmean(second.served - first.served for first, second in pairs),
        broken_first=sum(bool(first.broken) for first, _ in pairs),
        broken_second=sum(bool(second.broken) for _, second in pairs),
        prices=_moved_prices(pairs),
    )


def margin_of(changes: Sequence[float]) -> float:
    """Return half of the 95% interval of a mean; one value tells nothing."""
    if len(changes) < 2:
        return math.inf
    freedom = len(changes) - 1
    quantile = STUDENT[freedom - 1] if freedom <= len(STUDENT) else NORMAL
    return quantile * stdev(changes) / math.sqrt(len(changes))


def _moved_prices(pairs: Sequence[Pair]) -> dict[str, float]:
    names = {name for one in chain.from_iterable(pairs) for name in one.prices}
    means = {
        name: fmean(
            second.prices.get(name, 0) - first.prices.get(name, 0)
            for first, second in pairs
        )
        for name in sorted(names)
    }
    return {name: mean for name, mean in means.items() if round(mean, 4)}


def _site(pair: Pair) -> str:
    return pair[0].play.pair[0]


def table(first: str, second: str, rows: Iterable[Difference]) -> str:
    """Return a table of differences as Markdown."""
    heads = (
        'site',
        'pairs',
        first,
        second,
        'difference',
        '95%',
        'above / below',
        'served',
        'rules broken',
        'prices that moved most',
        '',
    )
    lines = [_line(heads), _line('---' for _ in heads)]
    lines.extend(_line(_cells(row)) for row in rows)
    return '\n'.join(lines)


def _cells(row: Difference) -> list[str]:
    moved = sorted(row.prices.items(), key=lambda pair: -abs(pair[1]))[:3]
    return [
        row.site,
        str(row.pairs),
        f'{row.worth_first:.3f}',
        f'{row.worth_second:.3f}',
        f'{row.mean:+.4f}',
        f'{row.margin:.4f}',
        f'{row.above} / {row.below}',
        f'{row.served:+.4f}',
        f'{row.broken_first} / {row.broken_second}',
        ', '.join(f'{name} {moved_by:+.4f}' for name, moved_by in moved),
        'clear' if row.is_clear else 'noise',
    ]


def _line(cells: Iterable[str]) -> str:
    return f'| {" | ".join(cells)} |'
