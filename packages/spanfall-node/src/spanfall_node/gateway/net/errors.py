"""Type the ways in which a call over the network fails."""


class CallError(Exception):
    """Say that a call did not get a whole answer, and why."""

    def __init__(self, reason: str) -> None:
        """Hold the reason as text for a log line."""
        super().__init__(reason)
        self.reason = reason


class NotSentError(CallError):
    """Say that no byte of a call was sent, so it had no effect."""


class NobodyListensError(NotSentError):
    """Say that a host is there and no process listens at the address."""


class BrokenCallError(CallError):
    """Say that a call was sent and its answer did not come whole."""


class CallerGoneError(Exception):
    """Say that the caller closed its connection before the answer's end."""


class BadRequestError(Exception):
    """Say why a request of a caller is not served, as an HTTP status."""

    def __init__(self, status: int, reason: str) -> None:
        """Hold the status of the answer and the reason for the log."""
        super().__init__(reason)
        self.status = status
        self.reason = reason
