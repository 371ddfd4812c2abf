"""Define the errors of calls over the network."""


class CallError(Exception):
    """Report that a call got no complete response, and why."""

    def __init__(self, reason: str) -> None:
        """Store the reason as text for log lines."""
        super().__init__(reason)
        self.reason = reason


class NotSentError(CallError):
    """Report that no byte of a call was sent, so it had no effect."""


class NobodyListensError(NotSentError):
    """Report that the host is up but no process listens at the address."""


class PeerUnavailableError(NotSentError):
    """Report that a peer opened no connection and says nothing of the host."""


class PathUnknownError(NotSentError):
    """Report that neither this node nor a peer knows whether a host is up."""


class BrokenCallError(CallError):
    """Report that a call was sent but its response was not complete."""


class UnsoundServerError(BrokenCallError):
    """Report that a server sent more than any response may hold."""


class CallerGoneError(Exception):
    """Report that the caller disconnected before the end of the response."""


class BadRequestError(Exception):
    """Report why a request of a caller is rejected, as an HTTP status."""

    def __init__(self, status: int, reason: str) -> None:
        """Store the status of the response and the reason for the log."""
        super().__init__(reason)
        self.status = status
        self.reason = reason
