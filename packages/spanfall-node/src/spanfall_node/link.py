"""Hold one link between two nodes: its queue, and what one message holds."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import anyio
from spanfall_api.frames import Frame

#: Most frames in one websocket message.
BATCH_FRAMES = 256
#: A batch is closed when its frames carry this many bytes.
BATCH_BYTES = 1_048_576

Source = Callable[[], Iterable[Frame]]


@dataclass(eq=False, slots=True)
class Link:
    """Queue frames to one peer and write them in batches.

    ``sources`` are streams with something new: each is asked for its frames
    when the link is flushed, so a slow link gets fewer, larger frames.
    """

    peer_id: str
    incarnation: int = 0
    outbox: deque[Frame] = field(default_factory=deque)
    sources: dict[str, Source] = field(default_factory=dict)
    wake: anyio.Event = field(default_factory=anyio.Event)
    urgent: anyio.Event = field(default_factory=anyio.Event)
    closed: bool = False
    ready: anyio.Event = field(default_factory=anyio.Event)

    def send(self, frame: Frame) -> None:
        """Queue one frame; nothing happens on a closed link."""
        if not self.closed:
            self.outbox.append(frame)
            self.wake.set()
            self.urgent.set()

    def notify(
        self,
        name: str,
        source: Source,
        *,
        is_urgent: bool = False,
    ) -> None:
        """Ask a stream for its frames at the next flush, or at once."""
        if not self.closed:
            self.sources[name] = source
            self.wake.set()
            if is_urgent:
                self.urgent.set()

    def take(self) -> list[Frame]:
        """Return all that is to be sent now, queued frames first."""
        frames = list(self.outbox)
        self.outbox.clear()
        sources = list(self.sources.values())
        self.sources.clear()
        frames.extend(frame for source in sources for frame in source())
        return frames


def split_batches(frames: Iterable[Frame]) -> Iterable[list[Frame]]:
    """Split frames into batches of bounded count and size."""
    batch: list[Frame] = []
    size = 0
    for frame in frames:
        batch.append(frame)
        size += payload_size(frame)
        if size >= BATCH_BYTES or len(batch) >= BATCH_FRAMES:
            yield batch
            batch = []
            size = 0
    if batch:
        yield batch


def payload_size(frame: Frame) -> int:
    """Return about how many bytes of payload a frame carries."""
    body = len(getattr(frame, 'body', b''))
    document = len(getattr(frame, 'document', b''))
    pieces = getattr(frame, 'pieces', ())
    return body + document + sum(map(len, pieces))
