"""Create metrics with labels, each known label value from the start at zero.

A reason that never occurred then reads zero instead of missing.
"""

from enum import StrEnum

from prometheus_client import CollectorRegistry, Counter


def labelled_counter(
    registry: CollectorRegistry,
    name: str,
    text: str,
    label: str,
) -> Counter:
    """Return a counter with one label."""
    return Counter(name, text, [label], registry=registry)


def reason_counter(
    registry: CollectorRegistry,
    name: str,
    text: str,
    reasons: type[StrEnum],
) -> Counter:
    """Return a counter by reason, with a zero for each known reason."""
    counter = labelled_counter(registry, name, text, 'reason')
    for reason in reasons:
        counter.labels(reason.value)
    return counter
