"""Measure whether a client sends or takes bytes as fast as it could."""

from dataclasses import dataclass

#: Seconds without a byte after which a client makes no progress.
STALL_SECONDS = 0.5
#: Bytes a second below which a client is slow: a hundredth of the slowest link
#: of a host. It matters only while others lack room.
MIN_RATE = 12_500


@dataclass(slots=True)
class Progress:
    """Hold how many bytes a client moved lately; times are in seconds."""

    #: Beginning of what is measured: one window before the current one.
    began_at: float
    _window_from: float = 0
    _last_at: float = 0
    #: Bytes moved in the current window, and in the one before it.
    _moved: int = 0
    _moved_before: int = 0

    def __post_init__(self) -> None:
        """Count the beginning as progress."""
        self.restart(self.began_at)

    def restart(self, now: float) -> None:
        """Begin to measure anew."""
        self.began_at = now
        self._window_from = now
        self._last_at = now
        self._moved = 0
        self._moved_before = 0

    def record(self, size: int, now: float) -> None:
        """Record bytes that the client sent or took."""
        if now - self._window_from >= STALL_SECONDS:
            self.began_at = self._window_from
            self._window_from = now
            self._moved_before = self._moved
            self._moved = 0
        self._moved += size
        self._last_at = now

    def stalled_seconds(self, now: float) -> float:
        """Return for how long the client has moved no byte."""
        return now - self._last_at

    def is_slow(self, now: float) -> bool:
        """Return whether the client moves nothing, or next to nothing."""
        if self.stalled_seconds(now) >= STALL_SECONDS:
            return True
        seconds = now - self.began_at
        moved = self._moved_before + self._moved
        return seconds >= STALL_SECONDS and moved < seconds * MIN_RATE
