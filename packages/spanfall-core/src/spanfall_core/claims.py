"""Decide which request may run under an idempotency key.

The claim log of a service holds batches of claims. Each batch is written under
the next sequence number, which can be created only once in the key-value
service. A home that was paused finds its number taken, reads the later
batches and finds the claims of its successor there.
"""

from dataclasses import dataclass, field
from enum import StrEnum, unique


@unique
class Verdict(StrEnum):
    """List the results of a claim attempt."""

    GRANTED = 'granted'
    TAKEN = 'taken'
    PENDING = 'pending'
    UNAVAILABLE = 'unavailable'


@dataclass(frozen=True, slots=True)
class Claim:
    """Grant one request the right to run under an idempotency key.

    ``at`` is the time of the claim in seconds since the epoch.
    """

    key: str
    request_id: str
    at: float


@dataclass(frozen=True, slots=True)
class Batch:
    """Hold one entry of the log; the nonce identifies its writer."""

    sequence: int
    nonce: str
    claims: tuple[Claim, ...]


@dataclass(slots=True)
class ClaimLog:
    """Hold the local copy of the claim log of one service.

    ``newest_times`` maps each sequence number to the time of the newest claim
    in its batch.
    """

    next_sequence: int = 0
    loaded: bool = False
    claims: dict[str, Claim] = field(default_factory=dict)
    newest_times: dict[int, float] = field(default_factory=dict)
    pending: list[Claim] = field(default_factory=list)


def merge_batch(log: ClaimLog, batch: Batch) -> None:
    """Apply an entry of the log; the first claim of a key wins."""
    if batch.sequence < log.next_sequence:
        return
    for claim in batch.claims:
        log.claims.setdefault(claim.key, claim)
    newest = max((row.at for row in batch.claims), default=0)
    log.newest_times[batch.sequence] = newest
    log.next_sequence = batch.sequence + 1


def check_claim(log: ClaimLog, claim: Claim) -> Verdict:
    """Return TAKEN if the key is claimed in the log or pending, else PENDING.

    If the log has a claim of the key by the same request, an earlier run of
    it made that claim and may have reached an upstream: the key is taken.
    """
    if claim.key in log.claims:
        return Verdict.TAKEN
    if any(other.key == claim.key for other in log.pending):
        return Verdict.TAKEN
    return Verdict.PENDING


def expire_claims(log: ClaimLog, before: float) -> list[int]:
    """Remove the claims made before a time; return the log entries to delete.

    The last entry is always kept, so that sequence numbers never restart.
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
