"""Hold measured points, fit lines through them, and store results."""

import json
from dataclasses import asdict, dataclass, field
from pathlib import Path

import numpy as np

RESULTS = Path(__file__).parent / 'results'
DIGITS = 6


@dataclass(frozen=True, slots=True)
class Slope:
    """Hold one measured relation: ``figure`` against ``size``.

    ``per_unit`` is the growth of the figure for one more unit of size,
    ``base`` its value at size zero, ``error`` the largest distance of a
    point from the line as a share of the largest figure.
    """

    name: str
    size_unit: str
    figure_unit: str
    date: str
    sizes: list[float]
    figures: list[float]
    per_unit: float = 0.0
    base: float = 0.0
    error: float = 0.0
    notes: dict[str, float] = field(default_factory=dict)


def fit(
    name: str,
    units: tuple[str, str],
    date: str,
    points: list[tuple[float, float]],
) -> Slope:
    """Return the least-squares line through measured points."""
    sizes = [float(size) for size, _ in points]
    figures = [float(figure) for _, figure in points]
    per_unit, base = np.polyfit(sizes, figures, 1)
    line = np.polyval((per_unit, base), sizes)
    largest = max(map(abs, figures)) or 1.0
    error = float(np.max(np.abs(line - figures))) / largest
    return Slope(
        name,
        units[0],
        units[1],
        date,
        sizes,
        [round_figure(figure) for figure in figures],
        round_figure(per_unit),
        round_figure(base),
        round_figure(error),
    )


def round_figure(figure: float) -> float:
    """Round to significant digits, so that files stay readable."""
    return float(f'{float(figure):.{DIGITS}g}')


def save(slope: Slope) -> None:
    """Write a slope to its result file."""
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f'{slope.name}.json'
    path.write_text(f'{json.dumps(asdict(slope), indent=2)}\n', 'utf-8')


def stored_slopes() -> dict[str, Slope]:
    """Return all stored slopes by name."""
    rows = {}
    for path in sorted(RESULTS.glob('*.json')):
        slope = Slope(**json.loads(path.read_text('utf-8')))
        rows[slope.name] = slope
    return rows
