"""Find what began a stream that a caller resumes at this node.

The home records each grant of a stream, and entries keep copies, so that the
origin outlives the entry that sent the stream, the home, and usually both. What
has begun at one of several versions is in the store as well.
"""

from dataclasses import dataclass, field

import anyio
from msgspec import structs
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.origins import Origin
from spanfall_core.gateway.known.stream_origins import (
    StreamKey,
    StreamRecord,
    group_records,
    ungroup_records,
)

from spanfall_node.gateway.links.origin_messages import (
    OriginAnswer,
    OriginQuestion,
    OriginsMessage,
)
from spanfall_node.gateway.links.pending_requests import PendingRequests, Send
from spanfall_node.gateway.store.fresh_reads import FreshReads
from spanfall_node.gateway.store.sync import max_confirmation_age
from spanfall_node.gateway.tables.counters import ResumeOutcome
from spanfall_node.gateway.tables.state import GatewayState
from spanfall_node.gateway.tables.tenure import Tenure
from spanfall_node.gateway.upstreams.keeper_links import (
    ANSWER_TIMEOUT_SECONDS,
    KeeperLinks,
)

#: Seconds of a tenure after which all entries have told the home what they
#: know: they look for a home ten times a second.
SETTLE_SECONDS = 1.0
#: Seconds for which a caller waits while nobody who may know answers.
LOOKUP_SECONDS = 0.5
#: Seconds between two attempts.
LOOKUP_PERIOD = 0.05
#: Seconds for which a read of the store is awaited: less than a node waits for
#: the answer of its home.
PROOF_SECONDS = 0.12


def record_grant(
    state: GatewayState,
    stream: tuple[StreamKey, float],
    upstream: ListedUpstream,
) -> None:
    """Record, as the home, where a stream is going to begin."""
    key, seconds = stream
    now = state.timers.now()
    origin = Origin(upstream.service, upstream.software_version)
    state.streams.record(StreamRecord(key, origin, now + seconds), now)


def merge_origins(state: GatewayState, message: OriginsMessage) -> None:
    """Record what another node knows.

    Raises:
        ValueError: the message is invalid.
    """
    now = state.timers.now()
    for record in ungroup_records(message.groups, now):
        state.streams.record(record, now)


def known_origins(state: GatewayState) -> OriginsMessage:
    """Return all that this node knows, for a new home or a new copy."""
    now = state.timers.now()
    return OriginsMessage(group_records(state.streams.table.records(now), now))


def find_record(state: GatewayState, question: OriginQuestion) -> Origin | None:
    """Return what began a stream, if this node has a record of it."""
    now = state.timers.now()
    origin = state.streams.table.find(question.stream, now)
    if origin is not None:
        state.streams.table.defer(question.stream, now + question.seconds)
    return origin


@dataclass(frozen=True, slots=True)
class Proof:
    """Hold the only origin that a stream can have, if there is only one."""

    origin: Origin | None
    #: Whether the store was read after the caller came: what another version
    #: has begun since the last listing is unknown here.
    is_final: bool


async def prove_origin(
    state: GatewayState,
    reads: FreshReads,
    question: OriginQuestion,
    asked_at: float,
) -> Proof:
    """Return what can have begun a stream whose caller came at a time."""
    is_final = await reads.confirmed_since(asked_at, PROOF_SECONDS)
    origin = None
    if is_final:
        origin = sole_origin(state, question.route, question.age)
    return Proof(origin, is_final)


def sole_origin(state: GatewayState, route: str, age: float) -> Origin | None:
    """Return the only origin that a stream of a route can have, if there is one.

    ``age`` is the seconds for which the stream may have existed. Only a current
    listing shows that no other version has started since.
    """
    now = state.timers.now()
    listing_age = now - state.directory.confirmed_at
    if listing_age > max_confirmation_age(state.quotas.entries):
        return None
    service = state.streams.routes.sole_service(route, age, now)
    if service is None:
        return None
    version = state.directory.versions.sole_version(service, age, now)
    return Origin(service, version) if version else None


def answer_question(
    state: GatewayState, question: OriginQuestion
) -> OriginAnswer:
    """Answer another node by the records of this one."""
    now = state.timers.now()
    return OriginAnswer(
        question.number,
        find_record(state, question),
        is_begun=state.streams.table.has_begun(question.stream, now),
    )


async def answer_as_home(
    state: GatewayState,
    reads: FreshReads,
    question: OriginQuestion,
    asked_at: float,
) -> OriginAnswer:
    """Answer a node by the records of the home, or by what it can prove."""
    answer = answer_question(state, question)
    proof = Proof(answer.origin, is_final=True)
    if answer.origin is None:
        proof = await prove_origin(state, reads, question, asked_at)
    tenure, now = state.tenure, state.timers.now()
    is_settled = tenure is not None and _is_settled(state, tenure, now)
    return OriginAnswer(
        question.number,
        proof.origin,
        is_settled=proof.is_final and is_settled,
        is_begun=answer.is_begun,
    )


def _is_settled(state: GatewayState, tenure: Tenure, now: float) -> bool:
    """Return whether the home has heard from all entries and from the store."""
    has_read = state.streams.read_in == tenure.epoch
    return has_read and now - tenure.began_at >= SETTLE_SECONDS


@dataclass(frozen=True, slots=True)
class Lookup:
    """Hold what a lookup found."""

    outcome: ResumeOutcome
    origin: Origin | None = None


@dataclass(slots=True)
class OriginClient:
    """Ask the home, or nodes with copies, what began a stream."""

    state: GatewayState
    reads: FreshReads
    _pending: PendingRequests[OriginAnswer] = field(
        default_factory=PendingRequests
    )
    _send: Send | None = None
    _keepers: KeeperLinks = field(init=False)

    def __post_init__(self) -> None:
        """Begin without links."""
        self._keepers = KeeperLinks(self.state)

    def connect(self, send: Send) -> None:
        """Use this link to the home from now on."""
        self._keepers.close()
        self._send = send
        self._pending.connect(send)

    def disconnect(self) -> None:
        """Use no home until another link connects."""
        self._send = None
        self._pending.disconnect()

    def accept_answer(self, answer: OriginAnswer) -> None:
        """Resolve a pending question; a late answer is ignored."""
        self._pending.resolve(answer.number, answer)

    async def announce(
        self, granted_epoch: int | None, record: StreamRecord
    ) -> None:
        """Tell the home of a stream, unless it granted that in this epoch.

        Nodes that keep copies are told as well: they may hold an earlier grant
        of the stream. The messages are sent before the caller gets the first
        event.
        """
        home = self.state.home
        if home is not None and home.epoch == granted_epoch:
            return
        groups = group_records((record,), self.state.timers.now())
        if self._send is not None:
            await self._send(OriginsMessage(groups))
        await self._keepers.tell(OriginsMessage(groups))

    async def find(self, question: OriginQuestion) -> Lookup:
        """Return what began a stream; wait a bounded time for who may know."""
        state = self.state
        asked_at = state.timers.now()
        until = asked_at + LOOKUP_SECONDS
        if state.streams.table.has_begun(question.stream, asked_at):
            return Lookup(ResumeOutcome.FOUND, find_record(state, question))
        while True:
            answer = await self._ask_all(question, asked_at)
            if answer.origin is not None:
                return Lookup(ResumeOutcome.FOUND, answer.origin)
            if answer.is_settled:
                return Lookup(ResumeOutcome.UNKNOWN)
            if state.timers.now() + LOOKUP_PERIOD > until:
                return Lookup(ResumeOutcome.NO_HOME)
            await anyio.sleep(LOOKUP_PERIOD)

    async def _ask_all(
        self, question: OriginQuestion, asked_at: float
    ) -> OriginAnswer:
        """Return what the home, nodes with copies or this node can tell."""
        state = self.state
        answer = await self._ask_home(question, asked_at)
        if not (answer.is_begun or answer.is_settled):
            answer = await self._keepers.ask(question, answer)
        origin = answer.origin or find_record(state, question)
        waited = state.timers.now() - asked_at
        # The home may still be reading the store for all who wait.
        is_left_alone = not answer.number or waited > LOOKUP_SECONDS / 2
        if origin is None and not answer.is_settled and is_left_alone:
            proof = await prove_origin(state, self.reads, question, asked_at)
            origin = proof.origin
        return structs.replace(answer, origin=origin)

    async def _ask_home(
        self, question: OriginQuestion, asked_at: float
    ) -> OriginAnswer:
        if self.state.tenure is not None:
            return await answer_as_home(
                self.state, self.reads, question, asked_at
            )
        waited = self.state.timers.now() - asked_at
        pending = await self._pending.ask(
            lambda number: structs.replace(
                question, number=number, waited=waited
            ),
            ANSWER_TIMEOUT_SECONDS,
        )
        return pending.answer or OriginAnswer(0)
