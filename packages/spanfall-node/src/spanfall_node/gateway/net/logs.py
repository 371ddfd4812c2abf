"""Write the log as JSON lines to standard output, with a rate limit.

Lines beyond the limit per second are dropped and counted; the next line that
is written contains their number. Long messages are cut.
"""

import logging
import sys
from collections.abc import Callable

from prometheus_client import Counter
from pythonjsonlogger.json import JsonFormatter

#: Maximum characters of the message of a line.
MAX_MESSAGE_LENGTH = 2048
_FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'


class LogRateLimiter(logging.Filter):
    """Drop lines beyond a number per second."""

    def __init__(
        self,
        clock: Callable[[], float],
        lines_per_second: int,
        dropped: Counter,
    ) -> None:
        """Count lines per second of a steady clock."""
        super().__init__()
        self._clock = clock
        self._max_lines = lines_per_second
        self._dropped_counter = dropped
        self._second = 0
        self._written = 0
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Decide whether a line is written; errors always are."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._written = 0
        self._written += 1
        if self._written > self._max_lines and record.levelno < logging.ERROR:
            self._dropped += 1
            self._dropped_counter.inc()
            return False
        if self._dropped:
            record.left_out = self._dropped
            self._dropped = 0
        _shorten(record)
        return True


def _shorten(record: logging.LogRecord) -> None:
    """Cut a message that is too long, as callers choose parts of it."""
    message = record.getMessage()
    cut = len(message) - MAX_MESSAGE_LENGTH
    if cut > 0:
        message = f'{message[:MAX_MESSAGE_LENGTH]} [{cut} characters cut]'
    record.msg = message
    record.args = ()


def set_up_logging(rate_limiter: LogRateLimiter, node: str) -> None:
    """Write the log of this node to standard output."""
    handler = logging.StreamHandler(sys.stdout)
    handler.addFilter(rate_limiter)
    handler.setFormatter(JsonFormatter(_FIELDS, static_fields={'node': node}))
    logging.basicConfig(
        level=logging.INFO,
        handlers=[handler],
        force=True,
    )
    for name in ('websockets', 'asyncio'):
        logging.getLogger(name).setLevel(logging.WARNING)
