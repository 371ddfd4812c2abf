"""Split an event stream into whole events.

An event ends with an empty line. What follows the last whole event is kept
back, since an upstream may stop in the middle of an event and another one
then sends that event again.
"""

import re
from dataclasses import dataclass

#: Most bytes of one event.
MAX_EVENT_BYTES = 1_048_576

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_EVENT_ID = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class EventTooLargeError(Exception):
    """Say that an event grew larger than any that is relayed."""


@dataclass(slots=True)
class EventSplitter:
    """Hold the unfinished event of a stream and the last id seen."""

    partial_event: bytes = b''
    last_id: bytes = b''
    events: int = 0

    def feed(self, received: bytes) -> bytes:
        """Return the whole events that are complete now.

        Raises:
            EventTooLargeError: an event does not end.
        """
        joined = self.partial_event + received
        end = 0
        for found in _EVENT_END.finditer(joined):
            end = found.end()
            self.events += 1
        whole = joined[:end]
        self.partial_event = joined[end:]
        if len(self.partial_event) > MAX_EVENT_BYTES:
            raise EventTooLargeError
        ids = _EVENT_ID.findall(whole)
        if ids:
            self.last_id = ids[-1]
        return whole

    def discard_partial(self) -> None:
        """Drop an unfinished event; another upstream sends it again."""
        self.partial_event = b''
