"""Hold one request at its entry until its whole answer is relayed."""

from dataclasses import dataclass, field

from spanfall_api.frames import Submit

from spanfall_node.answers import Answer
from spanfall_node.held import Held
from spanfall_node.link import Link


@dataclass(eq=False, slots=True)
class Relay:
    """Hold one request at its entry.

    ``permitted`` tells that a home may have run it; ``has_caller`` is false
    for the copy of a request whose entry is its home.
    """

    submit: Submit
    answer: Answer = field(default_factory=Answer)
    attempt: int = 1
    link: Link | None = None
    upstream: str = ''
    permitted: bool = False
    has_caller: bool = True
    attached: bool = False
    credited: int = 0
    expires_at: float = 0.0
    done_at: float | None = None

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.submit.request_id

    @property
    def may_run_again(self) -> bool:
        """Return whether another home may run the request."""
        if self.answer.head is not None:
            return False
        is_once = not self.submit.idempotent and not self.submit.key
        return not is_once or (not self.permitted and self.has_caller)

    def next_submit(self, now: float) -> Submit:
        """Return the request with what was relayed, for its next home."""
        return self.submit.model_copy(
            update={
                'attempt': self.attempt,
                'pieces': tuple(self.answer.pieces),
                'upstream': self.upstream,
                'life': max(0, self.expires_at - now),
            },
        )


async def notify_until_end(held: Held) -> None:
    """Tell the followers of an answer that others fill, until its end."""
    while held.answer.outcome is None:
        await held.answer.wait_beyond(held.answer.offset)
        held.notify()
