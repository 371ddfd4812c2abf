"""Split an event stream into complete events.

An event ends with an empty line. Bytes after the last complete event are
buffered: an upstream may stop in the middle of an event, and another upstream
then sends that event again.
"""

import re
from dataclasses import dataclass, field

#: Maximum bytes of one event.
MAX_EVENT_BYTES = 1_048_576

_EVENT_END = re.compile(rb'\r?\n\r?\n|\r\r')
#: Maximum parts that one event comes in.
MAX_EVENT_PARTS = 16_384
#: Bytes of the end of an event that may have arrived before its last byte.
_END_OVERLAP = 3
#: Last event of a stream of the OpenAI interface.
_FINAL_EVENT = b'data: [DONE]'
_EVENT_ID = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class EventTooLargeError(Exception):
    """Signal that an event exceeds the size limit."""


@dataclass(slots=True)
class EventSplitter:
    """Hold the incomplete event of a stream and the last event id."""

    partial_event: bytearray = field(default_factory=bytearray)
    last_id: bytes = b''
    events: int = 0
    #: Parts that the incomplete event came in.
    parts: int = 0
    #: Whether the last complete event says that it is the last.
    is_final: bool = False

    @property
    def is_inside_event(self) -> bool:
        """Return whether an event has begun that is not complete."""
        return bool(self.partial_event.strip(b'\r\n'))

    def feed(self, received: bytes) -> bytes:
        """Add received bytes and return the events that are now complete.

        Raises:
            EventTooLargeError: the incomplete event exceeds the size limit.
        """
        partial = self.partial_event
        self.parts += 1
        searched = max(0, len(partial) - _END_OVERLAP)
        partial += received
        end = 0
        for found in _EVENT_END.finditer(partial, searched):
            end = found.end()
            self.events += 1
        whole = bytes(partial[:end])
        del partial[:end]
        if whole:
            self.parts = 0
        if len(partial) > MAX_EVENT_BYTES or self.parts > MAX_EVENT_PARTS:
            raise EventTooLargeError
        if whole:
            self.is_final = whole.rstrip().endswith(_FINAL_EVENT)
        ids = _EVENT_ID.findall(whole)
        if ids:
            self.last_id = ids[-1]
        return whole

    def discard_partial(self) -> None:
        """Discard the incomplete event; another upstream sends it again."""
        self.partial_event.clear()
        self.parts = 0
