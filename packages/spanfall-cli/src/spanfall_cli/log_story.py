"""Join the log lines of many nodes into the story of one request."""

import json
import re
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, field
from datetime import datetime, timedelta
from itertools import chain
from pathlib import Path

#: Time before the first line of a request and after its last in which lines
#: about its upstreams and about the home belong to its story.
BEFORE = timedelta(seconds=10)
AFTER = timedelta(seconds=2)
#: Parts of a node whose lines say where the home is.
HOME_PARTS = ('entry_link', 'leadership', 'succession', 'state')
TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'

_ENDS = (
    (re.compile(r'^Refused request \S+ with (.*?); target'), 'refused with'),
    (re.compile(r'^Cut the answer to \S+: (.*?); the caller'), 'cut:'),
    (re.compile(r'^Request \S+ of \S+: (\d+ from \S+),'), 'answered'),
)
_TRAIT = re.compile(r'\bidentity (\w+)|\b(part/\w+)')
_MARKS = re.compile('[,;:] ?')
_UPSTREAM = re.compile(r'^Request \S+ (?:at|of \S+: \d+ from) ([^\s,]+)')


class UnknownRequestError(Exception):
    """Say that no line names a request, and how much was read."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one line of a node's log."""

    at: datetime
    node: str
    part: str
    level: str
    text: str
    #: Lines that the node left out before this one.
    left_out: int = 0


@dataclass(slots=True)
class Story:
    """Hold what the logs say of one request, in the order of time."""

    request_id: str
    lines: list[LogLine] = field(default_factory=list)
    #: How it ended, as the last line that says so.
    end: str = ''
    #: Lines that could not be read, and those that its nodes left out
    #: meanwhile: what is missing may be among them.
    unreadable: int = 0
    left_out: int = 0

    def as_rows(self) -> dict[str, object]:
        """Return the story as plain rows."""
        rows = [asdict(line) | {'at': str(line.at)} for line in self.lines]
        return {
            'request': self.request_id,
            'end': self.end,
            'lines': rows,
            'unreadable': self.unreadable,
            'left_out': self.left_out,
        }


def tell_story(request_id: str, files: Iterable[Path]) -> Story:
    """Return what the logs in some files say of one request.

    Raises:
        UnknownRequestError: no line names it.
    """
    paths = list(files)
    story = Story(request_id)
    read = 0
    own: list[LogLine] = []
    for line in _lines(paths):
        read += 1
        if line is None:
            story.unreadable += 1
        elif request_id in _words(line):
            own.append(line)
    if not own:
        raise UnknownRequestError(
            f'no line names request {request_id}: {read} lines of '
            f'{len(paths)} files read, {story.unreadable} of them no log lines',
        )
    own.sort(key=_time)
    story.end = _end_of(own)
    _add_context(story, own, paths)
    return story


def _add_context(story: Story, own: list[LogLine], paths: list[Path]) -> None:
    """Add what was said of its upstreams, traits and home meanwhile."""
    nodes = {line.node for line in own}
    names = _upstreams(own) | _traits(own)
    first, last = own[0].at - BEFORE, own[-1].at + AFTER
    around: list[LogLine] = []
    for line in _lines(paths):
        if line is None or line.node not in nodes:
            continue
        if not first <= line.at <= last:
            continue
        story.left_out += line.left_out
        if line.part in HOME_PARTS or _words(line) & names:
            around.append(line)
    kept = dict.fromkeys([*own, *_without_others(around)])
    story.lines = sorted(kept, key=_time)


def _without_others(lines: Iterable[LogLine]) -> Iterator[LogLine]:
    """Leave out what concerns other requests."""
    starts = ('Request ', 'Refused request ', 'Cut the answer ')
    return (line for line in lines if not line.text.startswith(starts))


def _upstreams(lines: Iterable[LogLine]) -> set[str]:
    found = (_UPSTREAM.match(line.text) for line in lines)
    return {match.group(1) for match in found if match}


def _traits(lines: Iterable[LogLine]) -> set[str]:
    found = (_TRAIT.finditer(line.text) for line in lines)
    return {match.group(match.lastindex) for match in chain(*found)}


def _words(line: LogLine) -> set[str]:
    return set(_MARKS.sub(' ', line.text).split())


def _end_of(lines: list[LogLine]) -> str:
    for line in reversed(lines):
        for pattern, word in _ENDS:
            found = pattern.match(line.text)
            if found:
                return f'{word} {found.group(1)} (by {line.node})'
    return 'no line says how it ended'


def _time(line: LogLine) -> datetime:
    return line.at


def _lines(paths: Iterable[Path]) -> Iterator[LogLine | None]:
    """Yield the lines of all files; None for one that cannot be read."""
    for path in paths:
        with path.open(errors='replace') as opened:
            for text in opened:
                if text.strip():
                    yield _parse(text)


def _parse(text: str) -> LogLine | None:
    """Read a line; what stands before its JSON, such as a time, is skipped."""
    start = text.find('{')
    try:
        content = dict(json.loads(text[start:]))
        return LogLine(
            datetime.strptime(content['asctime'], TIME_FORMAT),
            str(content.get('node', '')),
            str(content.get('name', '')).rpartition('.')[2],
            str(content.get('levelname', '')),
            str(content['message']),
            int(content.get('left_out', 0)),
        )
    except (ValueError, LookupError, TypeError):
        return None
