"""State how often entries report, and when their silence means something.

The home tells each entry the period of its reports, and counts it as silent
only after it missed some of just these. So whoever changes the period moves
what follows from it, at any size of the fleet.
"""

#: Seconds between two reports of an entry.
REPORT_PERIOD = 0.25
#: Reports a second that the home takes from all entries together: above
#: 50 entries each reports more rarely. What runs is told besides, as it
#: changes.
MAX_REPORTS_PER_SECOND = 200
#: Periods without a report after which an entry is silent: one report may be
#: late by a whole period while the home is busy.
SILENT_PERIODS = 2.0
#: Seconds without a report after which an entry is silent for limits at the
#: least: an entry whose link fails goes on alone by then.
SILENT_SECONDS = 0.8
#: Seconds without a word after which what runs at an entry counts no more, at
#: the least.
LOAD_EXPIRY_SECONDS = 2.0


def report_period(entries: int) -> float:
    """Return the seconds between two reports of each of so many entries."""
    return max(REPORT_PERIOD, entries / MAX_REPORTS_PER_SECOND)


def silent_after(period: float) -> float:
    """Return the seconds after which such an entry is silent for limits."""
    return max(SILENT_SECONDS, SILENT_PERIODS * period)


def load_expires_after(period: float) -> float:
    """Return the seconds after which what runs at it counts no more."""
    return max(LOAD_EXPIRY_SECONDS, SILENT_PERIODS * period)
