"""Learn that upstreams leave, and tell all nodes.

Delegates read the platform's notices and its host list; homes learn it from
an upstream's own refusal. Whichever comes first counts and is spread: to the
followers of each delegate, and between delegates.
"""

import logging
from collections.abc import Callable

import anyio
from spanfall_api.frames import Frame, UpstreamNotice

from spanfall_node.cloud import CloudError, CloudPort, HostRow
from spanfall_node.config_spread import ConfigSpread
from spanfall_node.context import Context
from spanfall_node.link import Link
from spanfall_node.members import Members

logger = logging.getLogger(__name__)

Listener = Callable[[UpstreamNotice], None]


class Notices:
    """Hold the newest incarnation of each upstream known to leave."""

    def __init__(
        self,
        context: Context,
        members: Members,
        spread: ConfigSpread,
        cloud: CloudPort,
    ) -> None:
        """Prepare; ``run`` reads the platform while this node is delegate."""
        self.listeners: list[Listener] = []
        self._known: dict[str, UpstreamNotice] = {}
        self._heard_at: dict[str, float] = {}
        self._context = context
        self._members = members
        self._spread = spread
        self._cloud = cloud

    def start(self) -> None:
        """Subscribe to notices of other nodes, and to nodes that join."""
        self._spread.joined.append(self._bring_up_to_date)
        self._context.links.subscribe(UpstreamNotice, self._take_frame)

    def take(self, notice: UpstreamNotice, source: Link | None = None) -> None:
        """Take a notice from any source; the first one counts."""
        name = notice.upstream_id
        known = self._known.get(name)
        if known is not None and known.incarnation >= notice.incarnation:
            return
        self._known[name] = notice
        self._heard_at[name] = self._context.timers.now()
        for listener in self.listeners:
            listener(notice)
        self._hand_on(notice, source)

    async def run(self) -> None:
        """Read the platform's notices while this node is a delegate."""
        while True:
            if self._members.acting:
                await self._read_platform()
            await anyio.sleep(self._context.cfg.platform.poll_seconds)

    async def _read_platform(self) -> None:
        try:
            rows = [*await self._cloud.notices(), *await self._leaving_hosts()]
        except CloudError as exc:
            logger.info('The platform does not answer: %s', exc)
            return
        for row in rows:
            self.take(
                UpstreamNotice(
                    upstream_id=row.upstream,
                    incarnation=row.incarnation,
                    seconds=row.seconds,
                ),
            )

    async def _leaving_hosts(self) -> list[HostRow]:
        hosts = await self._cloud.hosts()
        return [row for row in hosts if row.state == 'leaving']

    def _take_frame(self, link: Link, frame: Frame) -> None:
        if isinstance(frame, UpstreamNotice):
            self.take(frame, link)

    def _bring_up_to_date(self, link: Link) -> None:
        """Tell a node that joins which upstreams have been leaving."""
        now = self._context.timers.now()
        for name, notice in self._known.items():
            left = notice.seconds - (now - self._heard_at[name])
            link.send(notice.model_copy(update={'seconds': max(0, left)}))

    def _hand_on(self, notice: UpstreamNotice, source: Link | None) -> None:
        links = self._context.links
        if not self._members.acting:
            delegate = self._members.delegate
            if delegate and (source is None or source.peer_id != delegate):
                links.open(delegate).send(notice)
            return
        for link in self._spread.followers.values():
            link.send(notice)
        for node_id in self._members.other_delegates():
            links.open(node_id).send(notice)
