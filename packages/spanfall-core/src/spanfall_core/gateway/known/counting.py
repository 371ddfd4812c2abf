"""Aggregate counts by key, incrementally."""

from collections import Counter
from collections.abc import Mapping
from typing import TypeVar

Key = TypeVar('Key', bound=str)


def add_counts(
    total: Counter[Key],
    counts: Mapping[Key, int],
    sign: int = 1,
) -> None:
    """Add counts to a total, or subtract them if the sign is -1.

    Keys whose count becomes zero are removed.
    """
    for key, count in counts.items():
        added = total[key] + sign * count
        if added:
            total[key] = added
        else:
            total.pop(key, None)


def subtract_counts(
    counts: Mapping[Key, int],
    part: Mapping[Key, int],
) -> dict[Key, int]:
    """Return the differences that are not zero."""
    return {
        key: difference
        for key, count in counts.items()
        if (difference := count - part.get(key, 0))
    }
