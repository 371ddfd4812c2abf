"""Store the latest value that each upstream stated in an answer."""

from dataclasses import dataclass, field

from spanfall_core.gateway.known.lifetimes import Lifetime


@dataclass(frozen=True, slots=True)
class StatedValue:
    """Store a value and when it was received; None: it was withdrawn."""

    value: float | None
    received_at: float


@dataclass(slots=True)
class StatedValues:
    """Store one kind of value that upstreams state until they state none."""

    #: The values that apply now.
    current: dict[Lifetime, float] = field(default_factory=dict)
    _latest: dict[Lifetime, StatedValue] = field(default_factory=dict)

    def learn(self, lifetime: Lifetime, stated: StatedValue) -> bool:
        """Apply a later statement; return whether its value is new."""
        known = self._latest.get(lifetime)
        if known is not None and stated.received_at <= known.received_at:
            return False
        if known is None and stated.value is None:
            return False
        if known is not None and known.value == stated.value:
            # Only the first statement of a value sets its time, so that the
            # copies that nodes have of each other's statements agree.
            return False
        self._latest[lifetime] = stated
        if stated.value is None:
            self.current.pop(lifetime, None)
        else:
            self.current[lifetime] = stated.value
        return True

    def is_withdrawn(self, lifetime: Lifetime, sent_at: float) -> bool:
        """Return whether an answer without a value withdraws the known one.

        It does if its request was sent after that was received.
        """
        known = self._latest.get(lifetime)
        if known is None or known.value is None:
            return False
        return sent_at >= known.received_at

    def known(
        self, lifetime: Lifetime, now: float
    ) -> tuple[float | None, float | None]:
        """Return the latest value and its age in seconds."""
        known = self._latest.get(lifetime)
        if known is None:
            return None, None
        return known.value, now - known.received_at

    def forget(self, lifetime: Lifetime) -> None:
        """Drop the value of a lifetime that has ended."""
        self.current.pop(lifetime, None)
        self._latest.pop(lifetime, None)
