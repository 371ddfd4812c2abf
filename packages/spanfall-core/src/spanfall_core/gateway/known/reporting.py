"""Define how often entries report and when missing reports matter.

The home assigns each entry its report period and considers it silent only
after it has missed reports of that period. All timeouts here derive from the
period, so they remain consistent when it changes, for any fleet size.
"""

#: Minimum seconds between two reports of an entry.
REPORT_PERIOD = 0.25
#: Maximum rate of reports to the home, over all entries, per second: with more
#: than 50 entries, each reports less often. Changes of the running load are
#: sent separately, as they occur.
MAX_REPORTS_PER_SECOND = 200
#: Periods without a report after which an entry is silent: a report may be
#: late by a whole period while the home is busy.
SILENT_PERIODS = 2.0
#: Minimum seconds without a report after which limits treat an entry as
#: silent; an entry whose connection fails operates on its own by then.
SILENT_SECONDS = 0.8
#: Minimum seconds without a message after which the load of an entry no longer
#: counts.
LOAD_EXPIRY_SECONDS = 2.0


def report_period(entries: int) -> float:
    """Return the seconds between two reports of an entry in such a fleet."""
    return max(REPORT_PERIOD, entries / MAX_REPORTS_PER_SECOND)


def silent_after(period: float) -> float:
    """Return the seconds after which limits treat an entry as silent."""
    return max(SILENT_SECONDS, SILENT_PERIODS * period)


def load_expires_after(period: float) -> float:
    """Return the seconds after which the load of an entry expires."""
    return max(LOAD_EXPIRY_SECONDS, SILENT_PERIODS * period)
