"""Keep the requests of a home, end them, and forget them in time."""

from spanfall_api.frames import End, Frame, Refused
from spanfall_core.effects import Refuse
from spanfall_core.tables import RequestState

from spanfall_node.context import Context
from spanfall_node.held import Held


class HeldTable:
    """Hold the requests of a home by id."""

    def __init__(self, context: Context) -> None:
        """Start empty."""
        self.rows: dict[str, Held] = {}
        self._context = context

    def __contains__(self, request_id: str) -> bool:
        """Tell whether a request is held."""
        return request_id in self.rows

    def find(self, frame: Frame) -> Held | None:
        """Return the request that a frame names, if it is held."""
        return self.rows.get(getattr(frame, 'request_id', ''))

    def load(self) -> int:
        """Return how many requests have no outcome yet."""
        return sum(row.done_at is None for row in self.rows.values())

    def end(self, held: Held, outcome: End | Refused) -> None:
        """Give a request its outcome and tell its followers."""
        held.answer.finish(outcome)
        held.row.state = RequestState.DONE
        held.done_at = self._context.timers.now()
        held.notify()

    def end_whole(self, held: Held, finish_reason: str) -> None:
        """End a request with the whole answer."""
        self.end(
            held,
            End(
                request_id=held.request_id,
                attempt=held.row.attempt,
                offset=held.answer.offset,
                finish_reason=finish_reason,
            ),
        )

    def end_refused(
        self,
        held: Held,
        effect: Refuse,
        detail: str = '',
    ) -> None:
        """End a request with a refusal."""
        self.end(
            held,
            Refused(
                request_id=held.request_id,
                attempt=held.row.attempt,
                reason=effect.reason,
                run=effect.run_state,
                retry_after=effect.retry_after,
                detail=detail,
            ),
        )

    def share(self, held: Held, first: Held) -> None:
        """Answer a request with the answer of another, as it arrives."""
        held.done_at = self._context.timers.now()
        self._context.tasks.start_soon(self._copy, held, first)

    def purge(self, now: float) -> None:
        """Forget the answers that were held long enough."""
        oldest = now - self._context.cfg.times.answer_hold
        old = [
            request_id
            for request_id, held in self.rows.items()
            if held.done_at is not None and held.done_at < oldest
        ]
        for request_id in old:
            self.rows.pop(request_id)

    async def _copy(self, held: Held, first: Held) -> None:
        source = first.answer
        renamed = {'request_id': held.request_id}
        while held.answer.outcome is None:
            offset = held.answer.offset
            await source.wait_beyond(offset)
            if source.head is not None:
                held.answer.begin(source.head.model_copy(update=renamed))
            held.answer.add(offset, tuple(source.read(offset)))
            if source.outcome is None:
                held.notify()
            else:
                self.end(held, source.outcome.model_copy(update=renamed))
