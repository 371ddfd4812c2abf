"""Give held requests their turns while this node is the home."""

import logging
from collections.abc import Iterable

import anyio
from anyio.abc import TaskGroup
from spanfall_core.gateway.contention.held import HeldRequest
from websockets.asyncio.server import ServerConnection

from spanfall_node.gateway.links.contention_messages import (
    HeldTicket,
    HoldsEndedMessage,
    TurnMessage,
)
from spanfall_node.gateway.links.link_sends import send_to_all
from spanfall_node.gateway.tables.contention import ContendedService
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.upstreams.admitting import next_turns

logger = logging.getLogger(__name__)

#: Maximum seconds between two rounds of turns while requests are held.
ROUND_SECONDS = 0.02
#: Minimum seconds between two rounds, so that the reports of several entries
#: are taken together.
MIN_ROUND_SECONDS = 0.002
#: Seconds without a held request after which contention is taken to be over,
#: and between two log lines about one service.
CALM_SECONDS = 1.0
#: Seconds for which requests have to wait until that is logged.
NOTABLE_SECONDS = 0.2

#: Tickets to be told to each entry.
TicketsByEntry = dict[str, list[HeldTicket]]


class Turns:
    """Tell entries which of their held requests may ask again."""

    def __init__(self, state: GatewayState) -> None:
        """Use the state of the node."""
        self._state = state
        #: Links of the entries that asked on terms.
        self._links: dict[str, ServerConnection] = {}

    def add(self, entry: str, link: ServerConnection | None) -> None:
        """Send the turns of an entry over this link from now on."""
        if link is None or self._links.get(entry) is link:
            return
        if entry in self._links:
            self._drop_entry(entry)
        self._links[entry] = link

    def remove(self, link: ServerConnection) -> None:
        """Drop what the entry of a closed link has held."""
        entries = [key for key, known in self._links.items() if known is link]
        for entry in entries:
            self._links.pop(entry)
            self._drop_entry(entry)

    async def run(self) -> None:
        """Give turns until cancelled."""
        contention = self._state.contention
        async with anyio.create_task_group() as tasks:
            while True:
                await contention.has_work.wait()
                with anyio.move_on_after(ROUND_SECONDS):
                    await contention.room_changed.wait()
                self._give_turns(tasks)
                if not any(contention.active_services()):
                    contention.has_work = anyio.Event()
                await anyio.sleep(MIN_ROUND_SECONDS)

    def _give_turns(self, tasks: TaskGroup) -> None:
        """Tell each entry, in one message, what may ask again."""
        state = self._state
        tenure = state.tenure
        if tenure is None or tenure.resigned:
            state.contention.end_tenure()
            links = tuple(self._links.values())
            tasks.start_soon(send_to_all, links, HoldsEndedMessage())
            return
        now = state.timers.now()
        if not tenure.may_order(now):
            return
        chosen: TicketsByEntry = {}
        for service, row in state.contention.active_services():
            _collect(chosen, service, next_turns(state, service, now))
            _log_contention(service, row, now)
        state.contention.own_held.end(chosen.pop(state.entry_key, ()))
        for entry, tickets in chosen.items():
            link = self._links.get(entry)
            if link is not None:
                message = TurnMessage(tuple(tickets))
                tasks.start_soon(send_to_all, (link,), message)

    def _drop_entry(self, entry: str) -> None:
        for row in self._state.contention.services.values():
            row.queue.drop_entry(entry)


def _collect(
    chosen: TicketsByEntry, service: str, held: Iterable[HeldRequest]
) -> None:
    for one in held:
        ticket = HeldTicket(service, one.asker.identity, one.ticket)
        chosen.setdefault(one.asker.entry_key, []).append(ticket)


def _log_contention(service: str, row: ContendedService, now: float) -> None:
    """Log when contention begins and ends, at most once a second."""
    if now - row.logged_at < CALM_SECONDS:
        return
    if not row.is_logged and row.seconds_waiting(now) >= NOTABLE_SECONDS:
        _log_begin(service, row)
    elif row.is_logged and now - row.last_waiting_at >= CALM_SECONDS:
        _log_end(service, row, now)
    else:
        return
    row.is_logged = not row.is_logged
    row.logged_at = now


def _log_begin(service: str, row: ContendedService) -> None:
    room = row.room
    logger.info(
        'Service %s has no room for all requests: %s wait, %s of %s places '
        'are taken, %.0f units a second',
        service,
        len(row.queue),
        room.busy if room else 0,
        room.places if room else 0,
        room.work_rate if room else 0,
    )


def _log_end(service: str, row: ContendedService, now: float) -> None:
    logger.info(
        'Service %s has room again after %.1f s: %s held, %s rejected',
        service,
        now - row.logged_at,
        row.held_count,
        row.rejected_count,
    )
    row.held_count = 0
    row.rejected_count = 0
