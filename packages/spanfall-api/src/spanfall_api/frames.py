"""Define the messages between nodes and their CBOR coding.

A websocket message holds a batch: a CBOR array of frames, each a map with
its ``kind``. A frame of an unknown kind or with wrong members makes the whole
batch malformed. Request frames carry the request id and the attempt of the
entry; a receiver drops those of another attempt.
"""

from collections.abc import Sequence
from typing import Annotated, Final, Literal

import cbor2
from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError
from spanfall_core.reasons import RefusalReason, RunState
from spanfall_core.tables import ServiceKind

#: Version of this protocol; nodes with another one refuse the link.
PROTOCOL_VERSION: Final = 1

Header = tuple[str, str]


class Frame(BaseModel):
    """Give all frames strict members and no unknown ones."""

    model_config = ConfigDict(frozen=True, extra='forbid')


class Hello(Frame):
    """Open a link: who speaks, and in which version."""

    kind: Literal['hello'] = 'hello'
    version: int = PROTOCOL_VERSION
    node_id: str
    incarnation: int


class RequestFrame(Frame):
    """Name the request and the attempt of its entry."""

    request_id: str
    attempt: int


class Submit(RequestFrame):
    """Hand a request, and what was relayed of it, to a home.

    ``deadline`` and ``life`` are seconds from now; ``pieces`` are the answer
    parts that the entry has relayed so far, and ``upstream`` is where they
    came from, whose cache has the prompt.
    """

    kind: Literal['submit'] = 'submit'
    service: str
    workspace: str
    service_kind: ServiceKind
    idempotent: bool
    key: str = ''
    priority: int = 0
    deadline: float | None = None
    life: float
    method: str = 'POST'
    path: str = ''
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    pieces: tuple[bytes, ...] = ()
    upstream: str = ''
    keep: bool = False


class AskPermit(RequestFrame):
    """Ask the entry for the right to run a request that may run once."""

    kind: Literal['ask-permit'] = 'ask-permit'


class Permit(RequestFrame):
    """Answer whether the home may run the request."""

    kind: Literal['permit'] = 'permit'
    granted: bool


class Cancel(RequestFrame):
    """Tell the home that nobody waits for the answer any more."""

    kind: Literal['cancel'] = 'cancel'


class Credit(RequestFrame):
    """Tell the home up to which offset the caller has read."""

    kind: Literal['credit'] = 'credit'
    offset: int


class Head(RequestFrame):
    """Carry status and headers of an application's answer."""

    kind: Literal['head'] = 'head'
    status: int
    headers: tuple[Header, ...] = ()


class Progress(RequestFrame):
    """Carry parts of an answer; ``offset`` counts the parts before them.

    ``upstream`` is named when it is another than before.
    """

    kind: Literal['progress'] = 'progress'
    offset: int
    pieces: tuple[bytes, ...]
    upstream: str = ''


class End(RequestFrame):
    """End a whole answer of ``offset`` parts."""

    kind: Literal['end'] = 'end'
    offset: int
    finish_reason: str = 'stop'


class Refused(RequestFrame):
    """End a request without a whole answer."""

    kind: Literal['refused'] = 'refused'
    reason: RefusalReason
    run: RunState
    retry_after: float | None = None
    detail: str = ''


class HandBack(RequestFrame):
    """Return a request to its entry, for another home; it is not running."""

    kind: Literal['hand-back'] = 'hand-back'


class Attach(RequestFrame):
    """Ask the holder of an answer to send it from an offset on."""

    kind: Literal['attach'] = 'attach'
    workspace: str
    offset: int


class Heartbeat(Frame):
    """Tell the delegate that a node is alive and what it has applied."""

    kind: Literal['heartbeat'] = 'heartbeat'
    node_id: str
    incarnation: int
    data_centre: str
    address: str
    draining: bool = False
    revision: int = 0
    members: tuple[tuple[str, int], ...] = ()


class MemberEntry(Frame):
    """Describe one node in a member list."""

    node_id: str
    incarnation: int
    data_centre: str
    address: str
    draining: bool = False


class MemberList(Frame):
    """Carry the members of one data centre as of a version of its list."""

    kind: Literal['member-list'] = 'member-list'
    data_centre: str
    version: int
    delegate: str
    members: tuple[MemberEntry, ...]


class MemberDelta(Frame):
    """Carry what changed in a record between two versions of it."""

    kind: Literal['member-delta'] = 'member-delta'
    data_centre: str
    base: int
    version: int
    delegate: str
    changed: tuple[MemberEntry, ...] = ()
    gone: tuple[str, ...] = ()


class ConfigChange(Frame):
    """Carry an accepted change of configuration, as stored.

    The receiver hands it on to the nodes named in ``hand_on``.
    """

    kind: Literal['config-change'] = 'config-change'
    revision: int
    document: bytes
    hand_on: tuple[str, ...] = ()


class ConfigPull(Frame):
    """Ask a peer for the changes after a revision."""

    kind: Literal['config-pull'] = 'config-pull'
    after: int


class ConfigSnapshot(Frame):
    """Carry the whole configuration as of a revision."""

    kind: Literal['config-snapshot'] = 'config-snapshot'
    revision: int
    document: bytes


class UpstreamNotice(Frame):
    """Spread that an upstream leaves; ``seconds`` are left from now."""

    kind: Literal['upstream-notice'] = 'upstream-notice'
    upstream_id: str
    incarnation: int
    seconds: float


AnyFrame = Annotated[
    Hello
    | Submit
    | AskPermit
    | Permit
    | Cancel
    | Credit
    | Head
    | Progress
    | End
    | Refused
    | HandBack
    | Attach
    | Heartbeat
    | MemberList
    | MemberDelta
    | ConfigChange
    | ConfigPull
    | ConfigSnapshot
    | UpstreamNotice,
    Field(discriminator='kind'),
]

_BATCH: Final = TypeAdapter(tuple[AnyFrame, ...])


class MalformedBatchError(Exception):
    """Tell that a message from a peer is not a batch of known frames."""


def encode_batch(frames: Sequence[Frame]) -> bytes:
    """Encode frames as one websocket message."""
    return cbor2.dumps([frame.model_dump() for frame in frames])


def decode_batch(message: bytes) -> tuple[AnyFrame, ...]:
    """Decode a websocket message, or raise MalformedBatchError."""
    try:
        return _BATCH.validate_python(cbor2.loads(message))
    except (cbor2.CBORDecodeError, ValidationError, ValueError) as exc:
        raise MalformedBatchError(str(exc)) from exc
