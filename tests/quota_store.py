"""Hold the record of spending in the model of limits, and what is sent there."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class PendingRecord:
    """Hold a record that is under way to the store."""

    step: int
    epoch: int
    spent: dict


@dataclass(slots=True)
class RecordStore:
    """Hold what the store keeps; it takes one record at a time."""

    #: Steps until the store holds a record: some when hosts and the store are
    #: busy.
    steps: int = 0
    record: dict = field(default_factory=dict)
    _pending: PendingRecord | None = None

    @property
    def is_busy(self):
        """Tell whether a record is under way."""
        return self._pending is not None

    def send(self, sent):
        """Send a record."""
        self._pending = sent

    def take_arrived(self, step):
        """Return the record that arrives, if one does."""
        sent = self._pending
        if sent is None or step < sent.step + self.steps:
            return None
        self._pending = None
        return sent
