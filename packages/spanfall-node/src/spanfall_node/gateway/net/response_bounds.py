"""Bound what a server may send before and in a response.

A server may send bytes without end. Each reader stops at a number of bytes, so
that this costs one request a little and not each its deadline.
"""

from dataclasses import dataclass

from spanfall_node.gateway.net.errors import UnsoundServerError

#: Maximum bytes, interim responses and responses to other requests that a
#: server may send before a response.
MAX_BYTES_BEFORE_RESPONSE = 1_048_576
MAX_INTERIM_RESPONSES = 16
MAX_OTHER_RESPONSES = 4


@dataclass(slots=True)
class ResponseBounds:
    """Count what arrives before one response.

    All methods raise UnsoundServerError beyond the bound.
    """

    received_bytes: int = 0
    interim: int = 0
    others: int = 0

    def count_bytes(self, size: int) -> None:
        """Count received bytes."""
        self.received_bytes += size
        _check('bytes', self.received_bytes, MAX_BYTES_BEFORE_RESPONSE)

    def count_interim(self) -> None:
        """Count an interim response."""
        self.interim += 1
        _check('interim responses', self.interim, MAX_INTERIM_RESPONSES)

    def count_other(self) -> int:
        """Count a response to another request; return how many there were."""
        self.others += 1
        _check('responses to others', self.others, MAX_OTHER_RESPONSES)
        return self.others


def _check(what: str, number: int, most: int) -> None:
    if number > most:
        raise UnsoundServerError(
            f'no response after {number} {what}, at most {most} are read'
        )
