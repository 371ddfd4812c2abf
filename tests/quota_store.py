"""Model the store that holds the spending record in the simulation."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class PendingRecord:
    """Hold a record that was sent but has not reached the store."""

    step: int
    epoch: int
    spent: dict


@dataclass(slots=True)
class RecordStore:
    """Model the store; it accepts one record at a time."""

    #: Steps until a record is stored; above 0 if hosts and the store are busy.
    steps: int = 0
    record: dict = field(default_factory=dict)
    _pending: PendingRecord | None = None

    @property
    def is_busy(self):
        """Tell whether a record is in transit."""
        return self._pending is not None

    def send(self, sent):
        """Send a record."""
        self._pending = sent

    def take_arrived(self, step):
        """Return the record that arrives at this step, if any."""
        sent = self._pending
        if sent is None or step < sent.step + self.steps:
            return None
        self._pending = None
        return sent
