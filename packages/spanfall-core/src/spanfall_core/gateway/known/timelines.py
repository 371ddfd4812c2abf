"""Order the revisions of a store across its restores.

A store that is restored from a backup has lost the later writes and assigns
their revisions again, so it continues on the next timeline. A timeline and a
revision are combined into one number that increases with both.
"""

#: Maximum digits of a timeline.
MAX_TIMELINE_DIGITS = 9
#: Seconds after an outage or a restore within which platforms guarantee to
#: have written lost data again.
REWRITE_SECONDS = 2.0
#: Bits reserved for the revisions of one timeline.
REVISION_BITS = 40


def read_timeline(text: bytes) -> int | None:
    """Parse the timeline stated in an answer; return None if there is none."""
    digits = text.strip()
    is_number = digits.isdigit() and len(digits) <= MAX_TIMELINE_DIGITS
    return int(digits) if is_number else None


def combined_revision(timeline: int, revision: int) -> int:
    """Combine both, so that later timelines sort after all earlier ones."""
    return (timeline << REVISION_BITS) + revision


def timeline_of(combined: int) -> int:
    """Return the timeline of a combined revision."""
    return combined >> REVISION_BITS


def revision_of(combined: int) -> int:
    """Return the revision as the store assigned it."""
    return combined & ((1 << REVISION_BITS) - 1)
