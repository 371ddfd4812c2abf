"""Act as entry: keep a caller's request until its whole answer is relayed.

An entry submits to the acting home, relays what comes back, and submits to
another home, under a higher attempt and with what it has relayed so far, if
the home is lost. Frames of earlier attempts are dropped and counted.
"""

import logging

from spanfall_api.frames import (
    AskPermit,
    Attach,
    Cancel,
    Credit,
    End,
    Frame,
    HandBack,
    Head,
    Permit,
    Progress,
    Refused,
    RequestFrame,
    Submit,
)
from spanfall_core.reasons import (
    DropReason,
    RefusalReason,
    RetryReason,
    RunState,
)
from spanfall_core.tables import Request, ServiceKind

from spanfall_node.context import Context
from spanfall_node.held import Held
from spanfall_node.link import Link
from spanfall_node.members import Members
from spanfall_node.relayed import Relay, notify_until_end

logger = logging.getLogger(__name__)

#: Retry-After of a refusal for want of a home, in seconds.
NO_HOME_RETRY_AFTER = 2.0
#: Credit is sent when this share of the window has been read.
CREDIT_SHARE = 4


class Entry:
    """Hold the relays of this node."""

    def __init__(self, context: Context, members: Members) -> None:
        """Prepare; ``start`` begins to take frames."""
        self.relays: dict[str, Relay] = {}
        self._context = context
        self._members = members

    def start(self) -> None:
        """Subscribe to frames and to lost links."""
        links = self._context.links
        links.subscribe(Head, self._take_head)
        links.subscribe(Progress, self._take_progress)
        links.subscribe(End, self._take_end)
        links.subscribe(Refused, self._take_refused)
        links.subscribe(AskPermit, self._take_ask)
        links.subscribe(HandBack, self._take_hand_back)
        links.on_lost(self._lose_link)
        heartbeat = self._context.cfg.times.heartbeat
        self._context.timers.every(heartbeat, self._purge)

    def load(self) -> int:
        """Return how many callers wait for an answer here."""
        return sum(
            row.has_caller and row.done_at is None
            for row in self.relays.values()
        )

    def open(self, submit: Submit) -> Relay:
        """Submit a request to its home and return its relay."""
        relay = Relay(submit)
        now = self._context.timers.now()
        relay.expires_at = now + submit.life
        self.relays[relay.request_id] = relay
        self._assign(relay)
        return relay

    def attach(self, node_id: str, submit: Submit, offset: int) -> Relay:
        """Follow an answer that another node holds, from an offset on."""
        relay = Relay(submit, attached=True)
        relay.answer.start = offset
        relay.expires_at = self._context.timers.now() + submit.life
        self.relays[relay.request_id] = relay
        relay.link = self._context.links.open(node_id)
        relay.link.send(
            Attach(
                request_id=relay.request_id,
                attempt=relay.attempt,
                workspace=submit.workspace,
                offset=offset,
            ),
        )
        return relay

    def adopt(self, link: Link, submit: Submit) -> None:
        """Keep the copy of a request whose entry is its home."""
        if submit.request_id in self.relays:
            return
        relay = Relay(
            submit.model_copy(update={'keep': False}),
            attempt=submit.attempt,
            link=link,
            has_caller=False,
        )
        relay.answer.add(0, submit.pieces)
        now = self._context.timers.now()
        relay.expires_at = now + submit.life
        self.relays[relay.request_id] = relay

    def attach_copy(self, link: Link, frame: Attach) -> bool:
        """Send the copy of an answer that is kept here, as it grows.

        A caller may come back before the loss of the home is noticed here.
        """
        relay = self.relays.get(frame.request_id)
        if relay is None or relay.attached or self._context.draining:
            return False
        if relay.submit.workspace != frame.workspace:
            return False
        row = Request(relay.request_id, frame.workspace)
        held = Held(relay.submit, row, relay.answer)
        held.follow(link, frame.attempt, frame.offset)
        self._context.tasks.start_soon(notify_until_end, held)
        return True

    def cancel(self, relay: Relay) -> None:
        """Tell the home that the caller has gone for good."""
        if relay.done_at is not None:
            return
        if relay.link is not None:
            relay.link.send(
                Cancel(request_id=relay.request_id, attempt=relay.attempt),
            )
        self._refuse(relay, RefusalReason.CANCELLED, RunState.UNKNOWN)

    def note_read(self, relay: Relay, offset: int) -> None:
        """Let the home send more, once enough has been read."""
        window = self._context.cfg.limits.window_pieces
        if offset - relay.credited < window // CREDIT_SHARE:
            return
        relay.credited = offset
        if relay.submit.service_kind is ServiceKind.APPLICATION:
            relay.answer.trim(offset)
        if relay.link is not None:
            relay.link.send(
                Credit(
                    request_id=relay.request_id,
                    attempt=relay.attempt,
                    offset=offset,
                ),
            )

    def _assign(self, relay: Relay) -> None:
        homes = self._members.homes_of(relay.submit.service)
        if not homes:
            self._refuse(relay, RefusalReason.NO_HOME, RunState.NOT_RUN)
            return
        link = self._context.links.open(homes[0])
        relay.link = link
        link.send(relay.next_submit(self._context.timers.now()))

    def _reassign(self, relay: Relay, reason: RetryReason) -> None:
        """Submit to the next home, or say that the outcome is unknown."""
        relay.link = None
        if relay.attached:
            self._refuse(relay, RefusalReason.NO_HOME, RunState.UNKNOWN)
        elif relay.may_run_again:
            self._context.metrics.retries.labels(reason.value).inc()
            relay.attempt += 1
            self._assign(relay)
        else:
            reason_given = RefusalReason.OUTCOME_UNKNOWN
            self._refuse(relay, reason_given, RunState.UNKNOWN)

    def _refuse(
        self,
        relay: Relay,
        reason: RefusalReason,
        run: RunState,
    ) -> None:
        refusal = Refused(
            request_id=relay.request_id,
            attempt=relay.attempt,
            reason=reason,
            run=run,
            retry_after=NO_HOME_RETRY_AFTER,
        )
        self._finish(relay, refusal)

    def _finish(self, relay: Relay, outcome: End | Refused) -> None:
        if relay.answer.finish(outcome):
            relay.done_at = self._context.timers.now()

    def _current(self, frame: RequestFrame) -> Relay | None:
        relay = self.relays.get(frame.request_id)
        drops = self._context.metrics.drops
        if relay is None:
            drops.labels(DropReason.UNKNOWN_REQUEST.value).inc()
            return None
        if frame.attempt != relay.attempt:
            drops.labels(DropReason.OLD_ATTEMPT.value).inc()
            return None
        return relay

    def _take_head(self, link: Link, frame: Frame) -> None:
        if isinstance(frame, Head):
            relay = self._current(frame)
            if relay is not None:
                relay.answer.begin(frame)

    def _take_progress(self, link: Link, frame: Frame) -> None:
        if not isinstance(frame, Progress):
            return
        relay = self._current(frame)
        if relay is None:
            return
        relay.upstream = frame.upstream or relay.upstream
        dropped = relay.answer.add(frame.offset, frame.pieces)
        if dropped is not None:
            self._context.metrics.drops.labels(dropped.value).inc()
        if not relay.has_caller:
            self.note_read(relay, relay.answer.offset)

    def _take_end(self, link: Link, frame: Frame) -> None:
        if not isinstance(frame, End):
            return
        relay = self._current(frame)
        if relay is None:
            return
        self._members.trust(link.peer_id)
        if frame.offset != relay.answer.offset:
            reason = DropReason.OFFSET_GAP
            self._context.metrics.drops.labels(reason.value).inc()
            return
        self._finish(relay, frame)

    def _take_refused(self, link: Link, frame: Frame) -> None:
        if not isinstance(frame, Refused):
            return
        relay = self._current(frame)
        if relay is not None:
            self._finish(relay, frame)

    def _take_ask(self, link: Link, frame: Frame) -> None:
        if not isinstance(frame, AskPermit):
            return
        relay = self.relays.get(frame.request_id)
        granted = (
            relay is not None
            and relay.attempt == frame.attempt
            and relay.link is link
            and relay.done_at is None
        )
        if granted and relay is not None:
            relay.permitted = True
        link.send(
            Permit(
                request_id=frame.request_id,
                attempt=frame.attempt,
                granted=granted,
            ),
        )

    def _take_hand_back(self, link: Link, frame: Frame) -> None:
        if not isinstance(frame, HandBack):
            return
        relay = self._current(frame)
        if relay is None:
            return
        relay.permitted = False
        self._members.suspect(link.peer_id)
        self._reassign(relay, RetryReason.HOME_DRAINING)

    def _lose_link(self, link: Link) -> None:
        if link.peer_id and not self._context.draining:
            self._members.suspect(link.peer_id)
        lost = [
            relay
            for relay in self.relays.values()
            if relay.link is link and relay.done_at is None
        ]
        for relay in lost:
            logger.info('Request %s lost its home', relay.request_id)
            self._reassign(relay, RetryReason.HOME_LOST)

    def _purge(self, now: float) -> None:
        hold = self._context.cfg.times.answer_hold
        for relay in list(self.relays.values()):
            if relay.done_at is None and relay.expires_at < now:
                self._refuse(relay, RefusalReason.DEADLINE, RunState.UNKNOWN)
            done_at = relay.done_at
            if done_at is not None and done_at < now - hold:
                self.relays.pop(relay.request_id)
