"""Define the messages about what began streams that callers may resume."""

import msgspec
from spanfall_core.gateway.known.origins import Origin
from spanfall_core.gateway.known.stream_origins import OriginGroup, StreamKey


class OriginsMessage(msgspec.Struct, frozen=True, tag='origins'):
    """Tell the home, or an entry that keeps a copy, what began streams."""

    groups: tuple[OriginGroup, ...]


class OriginQuestion(
    msgspec.Struct, frozen=True, omit_defaults=True, tag='origin-question'
):
    """Ask what began the stream that a caller resumes."""

    number: int
    stream: StreamKey
    route: str
    #: Seconds for which the caller may resume the stream again.
    seconds: float
    #: Seconds for which the stream may have existed.
    age: float
    #: Seconds since the caller came.
    waited: float = 0


class OriginAnswer(
    msgspec.Struct, frozen=True, omit_defaults=True, tag='origin'
):
    """Tell what began a stream, as far as the node knows."""

    number: int
    origin: Origin | None = None
    #: Whether the node has heard from all entries that it will hear from.
    is_settled: bool = False
    #: Whether the stream is known to have begun there, and not only granted.
    is_begun: bool = False
