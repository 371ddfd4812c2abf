"""Read and write recorded traces: requests, faults and stated outcomes."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Literal, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError
from spanfall_api.settings import SettingsError, describe_faults
from spanfall_core.tables import ServiceKind
from spanfall_standins.application import WorkerSpeed
from spanfall_standins.engine import EngineSpeed

REQUESTS_FILE = 'requests.jsonl'
FAULTS_FILE = 'faults.jsonl'
SETUP_FILE = 'setup.json'
OUTCOMES_FILE = 'outcomes.json'

#: Characters of one token of a made-up document.
_TOKEN_CHARS = 4

Row = TypeVar('Row', bound=BaseModel)


class Line(BaseModel):
    """Refuse unknown members, so that a misspelt one is noticed."""

    model_config = ConfigDict(extra='forbid')


class RequestLine(Line):
    """Describe one request; ``at`` is seconds from the begin of the trace.

    A model request asks about a document, which others may ask about, too.
    """

    at: float
    workspace: str
    service: str
    kind: ServiceKind
    name: str
    method: str = 'POST'
    idempotent: bool = True
    key: str = ''
    deadline_ms: int | None = None
    priority: int = 0
    document: int = 0
    document_tokens: int = 0
    tokens: int = 0

    def prompt(self) -> str:
        """Return the prompt of a model request."""
        size = self.document_tokens * _TOKEN_CHARS
        text = f'document {self.document} of {self.workspace}; '
        repeated = text * (size // len(text) + 1)
        return f'{repeated[:size]} {self.name}'


class FaultLine(Line):
    """Describe one fault; ``targets`` are upstreams or nodes by name.

    ``home:SERVICE`` is the acting home of a service at that time, and
    ``gone`` stands for all nodes that were killed or stopped.
    """

    at: float
    fault: Literal[
        'reclaim',
        'upstream-kill',
        'replace',
        'node-kill',
        'node-stop',
        'node-start',
        'store-down',
        'store-up',
        'store-lose',
        'change',
    ]
    targets: tuple[str, ...] = ()
    seconds: float = 0.0


class Setup(Line):
    """Name the deployment of a trace and the pace of its stand-ins."""

    deployment: str
    engine: EngineSpeed
    worker: WorkerSpeed
    workers_factor: int = 1


class Outcomes(Line):
    """State what a replay must show.

    ``least_answered`` is the least share of requests answered whole.
    """

    promises: tuple[str, ...]
    least_answered: float


class Trace(Line):
    """Hold all parts of a trace."""

    setup: Setup
    requests: tuple[RequestLine, ...]
    faults: tuple[FaultLine, ...]
    outcomes: Outcomes


def read_trace(folder: Path) -> Trace:
    """Read a trace, or raise SettingsError."""
    return Trace(
        setup=read_document(folder / SETUP_FILE, Setup),
        requests=tuple(read_lines(folder / REQUESTS_FILE, RequestLine)),
        faults=tuple(read_lines(folder / FAULTS_FILE, FaultLine)),
        outcomes=read_document(folder / OUTCOMES_FILE, Outcomes),
    )


def write_trace(folder: Path, trace: Trace) -> None:
    """Write a trace."""
    folder.mkdir(parents=True, exist_ok=True)
    write_lines(folder / REQUESTS_FILE, trace.requests)
    write_lines(folder / FAULTS_FILE, trace.faults)
    write_document(folder / SETUP_FILE, trace.setup)
    write_document(folder / OUTCOMES_FILE, trace.outcomes)


def read_document(path: Path, model: type[Row]) -> Row:
    """Read one JSON document, or raise SettingsError."""
    try:
        return model.model_validate_json(path.read_text('utf-8'))
    except OSError as exc:
        raise SettingsError(str(path), [f'cannot read: {exc}']) from exc
    except ValidationError as exc:
        raise SettingsError(str(path), describe_faults(exc)) from exc


def read_lines(path: Path, model: type[Row]) -> Iterable[Row]:
    """Yield the rows of a file of JSON lines, or raise SettingsError."""
    try:
        lines = path.read_text('utf-8').splitlines()
    except OSError as exc:
        raise SettingsError(str(path), [f'cannot read: {exc}']) from exc
    for number, line in enumerate(lines, 1):
        try:
            yield model.model_validate_json(line)
        except ValidationError as exc:
            place = f'{path}, line {number}'
            raise SettingsError(place, describe_faults(exc)) from exc


def write_lines(path: Path, rows: Iterable[BaseModel]) -> None:
    """Write rows as JSON lines, leaving out what is as by default."""
    lines = (row.model_dump_json(exclude_defaults=True) for row in rows)
    path.write_text(''.join(f'{line}\n' for line in lines), 'utf-8')


def write_document(path: Path, document: BaseModel) -> None:
    """Write one JSON document."""
    content = json.dumps(document.model_dump(mode='json'), indent=2)
    path.write_text(f'{content}\n', 'utf-8')
