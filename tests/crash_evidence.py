"""Build the evidence that tests of crashing requests record."""

from spanfall_core.gateway.crashes.evidence import BrokenRun, CrashSign


def ended(identity, lifetime, *parts, **fields):
    """Return a run of a request whose upstream certainly ended."""
    return BrokenRun(identity, lifetime, (identity, *parts), **fields)


def suspected(identity, lifetime, *parts, is_strong=True):
    """Return a run of a request whose upstream seems to have ended."""
    sign = CrashSign.STRONG if is_strong else CrashSign.WEAK
    return ended(identity, lifetime, *parts, sign=sign)
