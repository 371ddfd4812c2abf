"""Hold when the node stops, and end by then whatever still waits.

Each request that was read gets an answer before the process ends, wherever it
waits. Times are those of the event loop, in seconds.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from math import inf

import anyio


@dataclass(slots=True)
class Shutdown:
    """Hold by when requests are answered, and the scopes that end then."""

    #: Time by which each request has its answer; infinite unless stopping.
    answers_due: float = inf
    #: Time by which all connections are closed.
    closes_at: float = inf
    _scopes: set[anyio.CancelScope] = field(default_factory=set)

    @property
    def seconds_left(self) -> float:
        """Return the seconds until answers are due."""
        return self.answers_due - anyio.current_time()

    @property
    def is_due(self) -> bool:
        """Return whether all requests have to be answered now."""
        return self.seconds_left <= 0

    def begin(self, answer_seconds: float, close_seconds: float) -> None:
        """Let all that waits end within some seconds."""
        now = anyio.current_time()
        self.answers_due = now + answer_seconds
        self.closes_at = now + close_seconds
        for scope in self._scopes:
            scope.deadline = min(scope.deadline, self.answers_due)

    @contextmanager
    def bounded(self, scope: anyio.CancelScope) -> Iterator[anyio.CancelScope]:
        """Run a block in a scope that ends when answers are due."""
        scope.deadline = min(scope.deadline, self.answers_due)
        self._scopes.add(scope)
        try:
            with scope:
                yield scope
        finally:
            self._scopes.discard(scope)

    def linger_seconds(self, usual: float) -> float:
        """Return the seconds for which a closing connection may linger."""
        left = self.closes_at - anyio.current_time()
        return max(0, min(usual, left))
