"""Define how changes and snapshots of configuration are stored and sent."""

from typing import Any

from pydantic import BaseModel, ConfigDict
from spanfall_core.configuration import (
    Change,
    ConfigState,
    Edit,
    StoredObject,
)


class EditDocument(BaseModel):
    """Describe one edit; no document stands for a deletion."""

    model_config = ConfigDict(extra='forbid')

    kind: str
    name: str
    document: dict[str, Any] | None = None


class ChangeDocument(BaseModel):
    """Describe one accepted change, as written to the log."""

    model_config = ConfigDict(extra='forbid')

    revision: int
    operation_id: str
    author: str
    edits: tuple[EditDocument, ...]


class StoredDocument(BaseModel):
    """Describe one object of a snapshot."""

    kind: str
    name: str
    revision: int
    document: dict[str, Any]


class SnapshotDocument(BaseModel):
    """Describe all or a part of the configuration as of a revision."""

    revision: int
    objects: tuple[StoredDocument, ...] = ()
    operations: dict[str, int] = {}


class HeadDocument(BaseModel):
    """Name the newest whole snapshot and the number of its parts."""

    revision: int
    parts: int


def dump_change(change: Change) -> bytes:
    """Return the stored form of a change."""
    document = ChangeDocument(
        revision=change.revision,
        operation_id=change.operation_id,
        author=change.author,
        edits=tuple(
            EditDocument(
                kind=edit.kind,
                name=edit.name,
                document=None if edit.document is None else dict(edit.document),
            )
            for edit in change.edits
        ),
    )
    return document.model_dump_json().encode()


def load_change(raw: bytes) -> Change:
    """Return the change that a stored form describes."""
    document = ChangeDocument.model_validate_json(raw)
    edits = tuple(
        Edit(edit.kind, edit.name, edit.document) for edit in document.edits
    )
    return Change(
        document.revision,
        document.operation_id,
        document.author,
        edits,
    )


def dump_objects(state: ConfigState) -> list[StoredDocument]:
    """Return all objects of a state in their stored form."""
    return [
        StoredDocument(
            kind=kind,
            name=name,
            revision=stored.revision,
            document=dict(stored.document),
        )
        for (kind, name), stored in state.objects.items()
    ]


def dump_snapshot(state: ConfigState) -> bytes:
    """Return the stored form of a whole state."""
    document = SnapshotDocument(
        revision=state.revision,
        objects=tuple(dump_objects(state)),
        operations=state.operations,
    )
    return document.model_dump_json().encode()


def load_snapshot(*raw_parts: bytes) -> ConfigState:
    """Return the state that the parts of one snapshot describe."""
    state = ConfigState()
    for raw in raw_parts:
        document = SnapshotDocument.model_validate_json(raw)
        state.revision = document.revision
        state.operations.update(document.operations)
        state.objects.update(
            {
                (row.kind, row.name): StoredObject(row.revision, row.document)
                for row in document.objects
            },
        )
    return state
