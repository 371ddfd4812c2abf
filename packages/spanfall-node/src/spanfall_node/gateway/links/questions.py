"""Ask the home over the link, and wait a bounded time for its answer."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import anyio
import msgspec

Answer = TypeVar('Answer')

Send = Callable[[msgspec.Struct], Awaitable[None]]


@dataclass(slots=True)
class PendingRequest(Generic[Answer]):
    """Wait for the answer to one question."""

    answered: anyio.Event = field(default_factory=anyio.Event)
    answer: Answer | None = None

    @property
    def is_answered(self) -> bool:
        """Tell whether the home answered, or can do so no more."""
        return self.answered.is_set()


@dataclass(slots=True)
class PendingRequests(Generic[Answer]):
    """Hold the questions of one kind that wait, by their numbers."""

    _send: Send | None = None
    _pending: dict[int, PendingRequest[Answer]] = field(default_factory=dict)
    #: Number of the last question.
    _last: int = 0

    @property
    def is_connected(self) -> bool:
        """Tell whether there is a home to ask."""
        return self._send is not None

    @property
    def last_settled(self) -> int:
        """Return the number up to which no question waits."""
        return min(self._pending, default=self._last + 1) - 1

    def connect(self, send: Send) -> None:
        """Ask over this link from now on."""
        self._send = send

    def disconnect(self) -> None:
        """End all waits; there is nobody to ask until the next link."""
        self._send = None
        for pending in self._pending.values():
            pending.answered.set()

    def resolve(self, number: int, answer: Answer | None) -> None:
        """Take the home's answer; one that comes too late is not used."""
        pending = self._pending.get(number)
        if pending is not None:
            pending.answer = answer
            pending.answered.set()

    async def ask(
        self,
        make_message: Callable[[int], msgspec.Struct],
        seconds: float,
    ) -> PendingRequest[Answer]:
        """Send the message of the next number and wait for its answer."""
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
