"""Check that the capacity page says what was measured."""

import json
from itertools import pairwise

from fits import stored_slopes
from page import PAGE, fill_in
from tables import time_decision

MEASURED = 23


def test_page_equals_the_stored_results() -> None:
    slopes = stored_slopes()
    assert len([row for row in slopes.values() if row.sizes]) >= MEASURED
    text = PAGE.read_text('utf-8')
    assert fill_in(text, slopes) == text


def test_slopes_have_four_sizes_that_grow() -> None:
    for slope in stored_slopes().values():
        assert not slope.sizes or len(slope.sizes) >= 4
        assert all(left < right for left, right in pairwise(slope.sizes))


def test_decisions_run_at_all_sizes() -> None:
    """Run the measured code, so that the bench cannot rot."""
    assert time_decision(5, 50) > 0


def test_results_are_plain_files() -> None:
    for name in stored_slopes():
        path = PAGE.parent.parent / 'bench' / 'results' / f'{name}.json'
        assert json.loads(path.read_text('utf-8'))['name'] == name
