"""Hold the requests of a home: what was submitted, and who follows it."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial

import anyio
from spanfall_api.completions import (
    CHARS_PER_TOKEN,
    parse_request,
    token_limit,
)
from spanfall_api.frames import Frame, Progress, Submit
from spanfall_core.effects import Dispatch
from spanfall_core.routing import BLOCK_TOKENS
from spanfall_core.tables import Request, ServiceKind
from xxhash import xxh3_64_intdigest

from spanfall_node.answers import Answer
from spanfall_node.link import BATCH_BYTES, Link

#: Blocks of a prompt that are indexed.
MAX_BLOCKS = 64
_BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN


def prefix_blocks(service: str, prompt: str) -> tuple[int, ...]:
    """Return chained hashes of the whole blocks of a prompt."""
    blocks: list[int] = []
    state = xxh3_64_intdigest(service.encode())
    count = min(MAX_BLOCKS, len(prompt) // _BLOCK_CHARS)
    for number in range(count):
        start = number * _BLOCK_CHARS
        block = prompt[start : start + _BLOCK_CHARS]
        state = xxh3_64_intdigest(block.encode(), seed=state)
        blocks.append(state)
    return tuple(blocks)


def build_row(submit: Submit, now: float) -> Request:
    """Return the row of a submitted request; raise ValidationError."""
    deadline = None if submit.deadline is None else now + submit.deadline
    row = Request(
        submit.request_id,
        submit.workspace,
        attempt=submit.attempt,
        kind=submit.service_kind,
        idempotent=submit.idempotent,
        key=submit.key,
        priority=submit.priority,
        deadline=deadline,
        expires_at=now + submit.life,
        arrived_at=now,
        progress=len(submit.pieces),
    )
    if submit.service_kind is ServiceKind.MODEL:
        req = parse_request(submit.path, submit.body)
        prompt = req.prompt_text()
        row.prompt_tokens = len(prompt) // CHARS_PER_TOKEN
        row.max_tokens = token_limit(req)
        row.prefix = prefix_blocks(submit.service, prompt)
    return row


@dataclass(slots=True)
class Follower:
    """Send an answer to one link, from an offset on, as it arrives."""

    link: Link
    attempt: int
    sent: int
    credit: int
    upstream: str = ''
    head_sent: bool = False
    end_sent: bool = False


@dataclass(eq=False, slots=True)
class Held:
    """Hold one request at its home until its answer need not be kept."""

    submit: Submit
    row: Request
    answer: Answer = field(default_factory=Answer)
    followers: dict[str, Follower] = field(default_factory=dict)
    pending: Dispatch | None = None
    claimed: bool = False
    scope: anyio.CancelScope | None = None
    ended: anyio.Event = field(default_factory=anyio.Event)
    read_on: anyio.Event = field(default_factory=anyio.Event)
    kv_handle: str = ''
    kv_source: str = ''
    done_at: float | None = None

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.submit.request_id

    def follow(self, link: Link, attempt: int, offset: int) -> None:
        """Send the answer to a link from an offset on."""
        offset = max(offset, self.answer.start)
        follower = Follower(link, attempt, offset, offset)
        self.followers[link.peer_id] = follower
        self.notify()

    def notify(self) -> None:
        """Let all followers send what is new.

        The first and the last parts go out at once; the others wait for a
        flush, so that one message carries many streams.
        """
        is_over = self.answer.outcome is not None
        for follower in self.followers.values():
            follower.link.notify(
                self.request_id,
                partial(self.frames_for, follower),
                is_urgent=is_over or not follower.sent,
            )

    def frames_for(self, follower: Follower) -> Iterable[Frame]:
        """Yield what a follower has not sent yet."""
        answer = self.answer
        attempt = follower.attempt
        if answer.head is not None and not follower.head_sent:
            follower.head_sent = True
            yield answer.head.model_copy(update={'attempt': attempt})
        if answer.offset > follower.sent:
            is_known = follower.upstream == self.row.upstream_id
            follower.upstream = self.row.upstream_id
            for pieces in split_pieces(answer.read(follower.sent)):
                yield Progress(
                    request_id=self.request_id,
                    attempt=attempt,
                    offset=follower.sent,
                    pieces=pieces,
                    upstream='' if is_known else follower.upstream,
                )
                follower.sent += len(pieces)
        if answer.outcome is not None and not follower.end_sent:
            follower.end_sent = True
            yield answer.outcome.model_copy(update={'attempt': attempt})

    def take_credit(self, peer_id: str, offset: int) -> None:
        """Note how far a follower's reader has come."""
        follower = self.followers.get(peer_id)
        if follower is None:
            return
        follower.credit = max(follower.credit, offset)
        self.answer.trim(min(row.credit for row in self.followers.values()))
        self.read_on.set()
        self.read_on = anyio.Event()

    def drop_link(self, link: Link) -> bool:
        """Forget a lost follower; return whether there was one."""
        follower = self.followers.get(link.peer_id)
        if follower is None or follower.link is not link:
            return False
        self.followers.pop(link.peer_id)
        self.read_on.set()
        self.read_on = anyio.Event()
        return True

    async def wait_window(self, window: int) -> None:
        """Wait while all readers are more than a window behind."""
        while self.followers and self._lag() > window:
            await self.read_on.wait()

    def _lag(self) -> int:
        ahead = max(row.credit for row in self.followers.values())
        return self.answer.offset - ahead


def split_pieces(pieces: Iterable[bytes]) -> Iterable[tuple[bytes, ...]]:
    """Split parts of an answer so that each group fits a message.

    An upstream may answer megabytes while a link waits; the peer closes a
    link on which a message is larger than it takes.
    """
    group: list[bytes] = []
    size = 0
    for piece in pieces:
        group.append(piece)
        size += len(piece)
        if size >= BATCH_BYTES:
            yield tuple(group)
            group = []
            size = 0
    if group:
        yield tuple(group)
