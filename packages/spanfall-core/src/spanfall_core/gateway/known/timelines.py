"""Order what a store says across its restores.

A store that comes back from a copy has lost what it took since, and gives the
same revisions out again: it goes on on the next timeline. A revision is known
with its timeline, as one number that grows with both.
"""

#: Digits of the largest timeline that is read as one.
MAX_TIMELINE_DIGITS = 9
#: Seconds after an outage or a restore within which platforms say that what
#: was lost is written again.
REWRITE_SECONDS = 2.0
#: Room for the revisions of one timeline.
REVISION_BITS = 40


def read_timeline(text: bytes) -> int | None:
    """Read the timeline that an answer names; None: it names none."""
    digits = text.strip()
    is_number = digits.isdigit() and len(digits) <= MAX_TIMELINE_DIGITS
    return int(digits) if is_number else None


def combined_revision(timeline: int, revision: int) -> int:
    """Return a revision as it is known, above all of earlier timelines."""
    return (timeline << REVISION_BITS) + revision


def timeline_of(combined: int) -> int:
    """Return the timeline of a revision that is known."""
    return combined >> REVISION_BITS


def revision_of(combined: int) -> int:
    """Return a revision as the store gave it out."""
    return combined & ((1 << REVISION_BITS) - 1)
