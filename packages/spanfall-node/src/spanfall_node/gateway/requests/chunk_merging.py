"""Merge the small chunks of a body before the HTTP parser sees them.

The parser needs ten microseconds for a chunk of any size, so a body that comes
in chunks of one byte would cost its length in processor time. Whole small chunks
are replaced here by one chunk with the same bytes; everything else, such as
large chunks, extensions, trailers and errors, is left to the parser.
"""

import re
from dataclasses import dataclass
from functools import lru_cache

#: Chunks of more bytes are passed on as they come.
MAX_SMALL_CHUNK = 1024
#: Longest line with the size of a chunk that is looked at.
MAX_SIZE_LINE = 16
#: Chunks of at most so many bytes are looked for in runs of equal size.
MAX_RUN_CHUNK = 16
_SIZE_LINE = re.compile(rb'([0-9a-fA-F]{1,8})\r\n')
_LINE_END = b'\r\n'


@dataclass(slots=True)
class ChunkMerger:
    """Hold what of a chunked body the parser has yet to get."""

    #: Chunks, or runs of equal ones, that were merged in the last piece.
    merged: int = 0
    #: The beginning of a small chunk whose end has not arrived, and how much of
    #: it the parser has already.
    _begun: bytes = b''
    _passed: int = 0
    #: Bytes of a chunk that are passed on as they come.
    _raw_bytes: int = 0
    #: Whether all that follows is left to the parser.
    _is_raw: bool = False

    def follow(self, received: bytes) -> None:
        """Keep up with the beginning of a body, which the parser has."""
        self.feed(received)
        self._passed = len(self._begun)

    def feed(self, received: bytes) -> bytes:
        """Return what the parser gets in place of received bytes."""
        self.merged = 0
        if self._is_raw:
            return received
        body = self._begun + received
        pieces: list[bytes] = []
        self._begun = b''
        position = 0
        while position < len(body) and not self._is_raw and not self._begun:
            if self._raw_bytes:
                end = min(len(body), position + self._raw_bytes)
                self._raw_bytes -= end - position
                pieces.append(body[position + self._passed : end])
                self._passed = 0
                position = end
            else:
                position = self._read_chunks(body, position, pieces)
        return b''.join(pieces)

    def _read_chunks(
        self, body: bytes, position: int, pieces: list[bytes]
    ) -> int:
        """Read the small chunks at a position; return where they end."""
        begun_at, contents = position, []
        while not self._passed:
            line = _SIZE_LINE.match(body, position)
            size = int(line[1], 16) if line else 0
            if not 0 < size <= MAX_SMALL_CHUNK:
                break
            end = line.end() + size
            if not body.startswith(_LINE_END, end):
                break
            next_at = end + len(_LINE_END)
            if size <= MAX_RUN_CHUNK and body.startswith(line[0], next_at):
                run = _run_of(line[0], size).match(body, position)
                contents.append(_contents_of(run[0], len(line[0]), size))
                position = run.end()
            else:
                contents.append(body[line.end() : end])
                position = next_at
            self.merged += 1
        if not contents:
            return self._read_other(body, begun_at, pieces)
        content = b''.join(contents)
        pieces.append(b'%x\r\n%b\r\n' % (len(content), content))
        return position

    def _read_other(
        self, body: bytes, position: int, pieces: list[bytes]
    ) -> int:
        """Decide what becomes of what is no whole small chunk."""
        line = _SIZE_LINE.match(body, position)
        left = len(body) - position
        size = int(line[1], 16) if line else 0
        if (
            line is None
            and left <= MAX_SIZE_LINE
            and _LINE_END not in body[position:]
        ):
            self._begun = body[position:]
            return position
        if not size:
            self._is_raw = True
            pieces.append(body[position + self._passed :])
            return len(body)
        whole = line.end() - position + size + 2
        if self._passed or size > MAX_SMALL_CHUNK:
            self._raw_bytes = whole
            return position
        if left < whole:
            self._begun = body[position:]
            return position
        # Whole, but without its end: the parser reports the error.
        self._is_raw = True
        pieces.append(body[position:])
        return len(body)


@lru_cache(maxsize=MAX_RUN_CHUNK * 4)
def _run_of(line: bytes, size: int) -> re.Pattern[bytes]:
    """Return a pattern for one or more chunks that begin with the same line."""
    return re.compile(rb'(?s:%b.{%d}\r\n)+' % (line, size))


def _contents_of(run: bytes, line_bytes: int, size: int) -> bytes:
    """Return the contents of a run of chunks of equal size."""
    stride = line_bytes + size + len(_LINE_END)
    starts = range(line_bytes, len(run), stride)
    if size == 1:
        return run[line_bytes::stride]
    return b''.join([run[start : start + size] for start in starts])
