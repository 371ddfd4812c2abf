"""Take requests out of a home: hand them back, or withdraw them.

A request is handed back only when it certainly does not run here any more,
so that the next home may run it. Handing back twice is harmless: the entry
drops the second by its attempt.
"""

from spanfall_api.frames import HandBack
from spanfall_core.dispatch import finish, remove_queued
from spanfall_core.reasons import RetryReason
from spanfall_core.tables import Pool, RequestState

from spanfall_node.context import Context
from spanfall_node.held import Held
from spanfall_node.link import Link
from spanfall_node.outcomes import HeldTable
from spanfall_node.pools import PoolTable
from spanfall_node.runs import Runs


class Handover:
    """Return requests of this home to their entries."""

    def __init__(
        self,
        context: Context,
        held: HeldTable,
        pools: PoolTable,
        runs: Runs,
    ) -> None:
        """Work on the tables of the home."""
        self._context = context
        self._held = held
        self._pools = pools
        self._runs = runs

    def hand_back_queued(self, service: str | None = None) -> None:
        """Return what is queued, of one service or of all."""
        for held in list(self._held.rows.values()):
            is_queued = held.row.state is RequestState.QUEUED
            is_meant = service is None or held.submit.service == service
            if is_queued and is_meant and held.done_at is None:
                self.hand_back(held)

    def hand_back_running(self) -> None:
        """Return running streams that can be resumed elsewhere."""
        for held in list(self._held.rows.values()):
            can_move = held.row.idempotent and held.done_at is None
            if can_move and held.answer.head is None:
                self.hand_back(held)

    def hand_back(self, held: Held) -> None:
        """Stop a request here and return it to its entry."""
        self.drop(held)
        for follower in held.followers.values():
            for frame in held.frames_for(follower):
                follower.link.send(frame)
            follower.link.send(
                HandBack(
                    request_id=held.request_id,
                    attempt=follower.attempt,
                ),
            )
        reason = RetryReason.HOME_DRAINING
        self._context.metrics.retries.labels(reason.value).inc()

    def drop(self, held: Held) -> None:
        """Stop a request here and forget it."""
        self.withdraw(held)
        self._held.rows.pop(held.request_id, None)

    def withdraw(self, held: Held) -> Pool | None:
        """Take a request out of its pool and stop its run."""
        pool = self._pools.find(held.submit.service)
        if pool is None or held.request_id not in pool.requests:
            return pool
        if held.row.state is RequestState.QUEUED:
            remove_queued(pool, held.row)
        self._runs.stop(held)
        held.pending = None
        finish(pool, held.row)
        return pool

    def lose_entry(self, held: Held, link: Link) -> None:
        """Give up what needs its entry's permit; finish everything else."""
        if not held.drop_link(link) or held.done_at is not None:
            return
        needs_entry = not held.row.idempotent and not held.row.key
        if needs_entry and held.row.state is not RequestState.RUNNING:
            self.drop(held)
