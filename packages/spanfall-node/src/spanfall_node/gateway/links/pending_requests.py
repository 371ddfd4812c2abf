"""Send requests to the home and wait a bounded time for the answers."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import anyio
import msgspec

Answer = TypeVar('Answer')

Send = Callable[[msgspec.Struct], Awaitable[None]]


@dataclass(slots=True)
class PendingRequest(Generic[Answer]):
    """Hold the state of one request to the home."""

    answered: anyio.Event = field(default_factory=anyio.Event)
    answer: Answer | None = None

    @property
    def is_answered(self) -> bool:
        """Tell whether the home has answered, or the link has ended."""
        return self.answered.is_set()


@dataclass(slots=True)
class PendingRequests(Generic[Answer]):
    """Hold the pending requests of one type, by their numbers."""

    _send: Send | None = None
    _pending: dict[int, PendingRequest[Answer]] = field(default_factory=dict)
    #: Number of the last request.
    _last: int = 0

    @property
    def is_connected(self) -> bool:
        """Tell whether there is a link to the home."""
        return self._send is not None

    @property
    def last_settled(self) -> int:
        """Return the number up to which no request is pending."""
        return min(self._pending, default=self._last + 1) - 1

    def connect(self, send: Send) -> None:
        """Send requests over this link from now on."""
        self._send = send

    def disconnect(self) -> None:
        """End all waits; no requests are sent until the next link."""
        self._send = None
        for pending in self._pending.values():
            pending.answered.set()

    def resolve(self, number: int, answer: Answer | None) -> bool:
        """Store the home's answer; return False if it arrives too late."""
        pending = self._pending.get(number)
        if pending is not None:
            pending.answer = answer
            pending.answered.set()
        return pending is not None

    async def ask(
        self,
        make_message: Callable[[int], msgspec.Struct],
        seconds: float,
    ) -> PendingRequest[Answer]:
        """Send a message with the next number and wait for its answer."""
        number = self._last + 1
        question: PendingRequest[Answer] = PendingRequest()
        if self._send is None:
            return question
        message = make_message(number)
        self._last = number
        self._pending[number] = question
        try:
            with anyio.move_on_after(seconds):
                await self._send(message)
                await question.answered.wait()
        finally:
            self._pending.pop(number, None)
        return question
