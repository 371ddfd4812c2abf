"""Sum the requests and the retries of all entries by service, at the home.

The sums come from the entries' reports and not from the shares by which each
entry limits itself, so they show whether the shares add up to more than the
fleet may send.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetryCounts:
    """Count the requests for a service and their retries in one window."""

    requests: float = 0
    retries: float = 0


def sum_retries(
    reported: Iterable[Mapping[str, RetryCounts]],
) -> dict[str, RetryCounts]:
    """Return the sums over what entries reported, by service."""
    sums: dict[str, RetryCounts] = {}
    for counts in reported:
        for service, row in counts.items():
            known = sums.get(service, RetryCounts())
            sums[service] = RetryCounts(
                known.requests + row.requests, known.retries + row.retries
            )
    return sums
