"""Let entries follow the answers that a home holds, and act on them.

An entry attaches, gives credit, permits or cancels a run; a second home
follows an answer as an entry without a caller would.
"""

from collections.abc import Callable

from spanfall_api.frames import (
    Attach,
    Cancel,
    Credit,
    Frame,
    Permit,
    Refused,
    RequestFrame,
    Submit,
)
from spanfall_core.effects import Refuse
from spanfall_core.reasons import RefusalReason, RunState
from spanfall_core.tables import Pool

from spanfall_node.context import Context
from spanfall_node.handover import Handover
from spanfall_node.held import Held
from spanfall_node.link import Link
from spanfall_node.members import Members
from spanfall_node.outcomes import HeldTable
from spanfall_node.rights import Rights

Adopter = Callable[[Link, Submit], None]
AttachCopy = Callable[[Link, Attach], bool]


def ignore_copy(link: Link, submit: Submit) -> None:
    """Drop the copy of a request, where no entry takes such copies."""


def has_no_copy(link: Link, frame: Attach) -> bool:
    """Say that there is no copy, where no entry keeps such copies."""
    return False


class Followers:
    """Serve the entries that follow held requests."""

    def __init__(
        self,
        context: Context,
        members: Members,
        held: HeldTable,
        handover: Handover,
        rights: Rights,
        tick_pool: Callable[[Pool], None],
    ) -> None:
        """Prepare; ``start`` begins to take frames."""
        self.adopt: Adopter = ignore_copy
        self.attach_copy: AttachCopy = has_no_copy
        self._context = context
        self._members = members
        self._held = held
        self._handover = handover
        self._rights = rights
        self._tick_pool = tick_pool

    def start(self) -> None:
        """Subscribe to frames and lost links."""
        links = self._context.links
        links.subscribe(Cancel, self._take_cancel)
        links.subscribe(Credit, self._take_credit)
        links.subscribe(Permit, self._take_permit)
        links.subscribe(Attach, self._take_attach)
        links.on_lost(self._lose_link)

    def send_copy(self, held: Held) -> None:
        """Keep a second copy at the next home, if the entry is here, too.

        The copy follows the answer as an entry without a caller would.
        """
        if self._context.is_off('two-copies'):
            return
        others = [
            node_id
            for node_id in self._members.homes_of(held.submit.service)
            if node_id != self._context.node_id
        ]
        if others:
            link = self._context.links.open(others[0])
            link.send(held.submit.model_copy(update={'keep': True}))
            held.follow(link, held.submit.attempt, len(held.submit.pieces))

    def _take_cancel(self, link: Link, frame: Frame) -> None:
        held = self._held.find(frame)
        if held is None or held.done_at is not None:
            return
        if not held.row.idempotent:
            return
        pool = self._handover.withdraw(held)
        reason = RefusalReason.CANCELLED
        refusal = Refuse(held.request_id, reason, RunState.UNKNOWN)
        self._held.end_refused(held, refusal)
        if pool is not None:
            self._tick_pool(pool)

    def _take_credit(self, link: Link, frame: Frame) -> None:
        held = self._held.find(frame)
        if held is not None and isinstance(frame, Credit):
            held.take_credit(link.peer_id, frame.offset)

    def _take_permit(self, link: Link, frame: Frame) -> None:
        held = self._held.find(frame)
        if held is not None and isinstance(frame, Permit):
            self._rights.take_permit(held, frame)

    def _take_attach(self, link: Link, frame: Frame) -> None:
        if not isinstance(frame, Attach):
            return
        held = self._held.find(frame)
        if held is not None and held.submit.workspace == frame.workspace:
            held.follow(link, frame.attempt, frame.offset)
        elif not self.attach_copy(link, frame):
            reason = RefusalReason.UNKNOWN_REQUEST
            refuse_frame(link, frame, reason, RunState.UNKNOWN)

    def _lose_link(self, link: Link) -> None:
        for held in list(self._held.rows.values()):
            self._handover.lose_entry(held, link)


def refuse_frame(
    link: Link,
    frame: RequestFrame,
    reason: RefusalReason,
    run: RunState = RunState.NOT_RUN,
) -> None:
    """Refuse a request that is not held here."""
    link.send(
        Refused(
            request_id=frame.request_id,
            attempt=frame.attempt,
            reason=reason,
            run=run,
        ),
    )
