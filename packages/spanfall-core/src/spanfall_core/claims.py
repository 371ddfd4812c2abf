"""Decide who may run a keyed request, from the claim log of its service.

Claims are appended in batches under the next sequence number, each number
created once in the key-value service. A holder that was paused finds its
number taken, reads on, and learns what its successor claimed.
"""

from dataclasses import dataclass, field
from enum import StrEnum, unique


@unique
class Verdict(StrEnum):
    """Give the result of asking for a claim."""

    GRANTED = 'granted'
    TAKEN = 'taken'
    PENDING = 'pending'
    UNAVAILABLE = 'unavailable'


@dataclass(frozen=True, slots=True)
class Claim:
    """Give one request the right to run under a key; ``at`` is epoch time."""

    key: str
    request_id: str
    at: float


@dataclass(frozen=True, slots=True)
class Batch:
    """Hold one entry of the log; the nonce tells its writer."""

    sequence: int
    nonce: str
    claims: tuple[Claim, ...]


@dataclass(slots=True)
class ClaimLog:
    """Hold what is known of the claim log of one service."""

    next_sequence: int = 0
    loaded: bool = False
    claims: dict[str, Claim] = field(default_factory=dict)
    newest_times: dict[int, float] = field(default_factory=dict)
    pending: list[Claim] = field(default_factory=list)


def merge_batch(log: ClaimLog, batch: Batch) -> None:
    """Take an entry of the log; the first claim of a key counts."""
    if batch.sequence < log.next_sequence:
        return
    for claim in batch.claims:
        log.claims.setdefault(claim.key, claim)
    newest = max((row.at for row in batch.claims), default=0)
    log.newest_times[batch.sequence] = newest
    log.next_sequence = batch.sequence + 1


def check_claim(log: ClaimLog, claim: Claim) -> Verdict:
    """Tell whether the key is free, ours to run, or taken.

    A key that is in the log for the same request was claimed by an earlier
    run of it, which may have reached an upstream: it counts as taken.
    """
    if claim.key in log.claims:
        return Verdict.TAKEN
    if any(other.key == claim.key for other in log.pending):
        return Verdict.TAKEN
    return Verdict.PENDING


def expire_claims(log: ClaimLog, before: float) -> list[int]:
    """Forget claims older than a time; return the entries to delete.

    The last entry always stays, so that sequence numbers never restart.
    """
    stale = [key for key, claim in log.claims.items() if claim.at < before]
    for key in stale:
        log.claims.pop(key)
    last = log.next_sequence - 1
    expired = [
        sequence
        for sequence, newest in log.newest_times.items()
        if newest < before and sequence != last
    ]
    for sequence in expired:
        log.newest_times.pop(sequence)
    return expired
