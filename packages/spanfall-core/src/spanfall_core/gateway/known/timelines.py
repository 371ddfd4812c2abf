"""Tell the timelines of a store apart.

A store that comes back from a copy has lost what it took since, and gives the
same revisions out again: it goes on on the next timeline.
"""

#: Digits of the largest timeline that is read as one.
MOST_DIGITS = 9


def read_timeline(text: bytes) -> int | None:
    """Read the timeline that an answer names; None: it names none."""
    digits = text.strip()
    is_number = digits.isdigit() and len(digits) <= MOST_DIGITS
    return int(digits) if is_number else None
