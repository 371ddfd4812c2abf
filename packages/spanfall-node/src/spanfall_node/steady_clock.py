"""Read the one clock by which a node tells how old a thing is.

``time.monotonic`` stands still while a host is suspended, so a lease, a proof
or a deadline would look younger by that time, and a home would act beside its
successor. This clock counts it, for the timer service and for the event loop,
whose scopes would not end by themselves otherwise.
"""

import asyncio
import time


def steady_seconds() -> float:
    """Return the seconds since the host started, suspended ones as well."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SteadyLoop(asyncio.SelectorEventLoop):
    """Run tasks and their scopes by the steady clock."""

    def time(self) -> float:
        """Return the time of the loop in seconds."""
        return steady_seconds()
