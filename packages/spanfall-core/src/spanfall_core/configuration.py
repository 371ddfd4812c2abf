"""Maintain the configuration as a sequence of accepted changes.

A revision is the number of a change in the log of the platform's key-value
service. A state applies only the change with the next revision, and applies
it atomically, so it never reverts.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

Document = Mapping[str, Any]
#: Kind and name that identify an object.
ObjectId = tuple[str, str]


@dataclass(frozen=True, slots=True)
class Edit:
    """Put an object, or delete it if there is no document.

    ``expected`` is the revision of the object that the edit is based on, zero
    if the object must not exist, or None to skip this check.
    """

    kind: str
    name: str
    document: Document | None
    expected: int | None = None


@dataclass(frozen=True, slots=True)
class Change:
    """Hold the edits accepted under one revision, and their author."""

    revision: int
    operation_id: str
    author: str
    edits: tuple[Edit, ...]


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Hold an object and the revision of its last change."""

    revision: int
    document: Document


@dataclass(frozen=True, slots=True)
class Conflict:
    """Describe an edit whose expected revision is out of date."""

    kind: str
    name: str
    expected: int
    actual: int
    document: Document | None


#: Maximum number of retained operation ids. They show whether an operation
#: whose response was lost has been applied.
MAX_OPERATIONS = 4096


@dataclass(slots=True)
class ConfigState:
    """Hold all objects at a revision.

    ``operations`` maps the ids of recent operations to their revisions.
    """

    revision: int = 0
    objects: dict[ObjectId, StoredObject] = field(default_factory=dict)
    operations: dict[str, int] = field(default_factory=dict)


def apply_change(state: ConfigState, change: Change) -> bool:
    """Apply the change if it is the next one; return whether it was."""
    if change.revision != state.revision + 1:
        return False
    for edit in change.edits:
        _apply_edit(state, edit, change.revision)
    state.revision = change.revision
    state.operations[change.operation_id] = change.revision
    while len(state.operations) > MAX_OPERATIONS:
        state.operations.pop(next(iter(state.operations)))
    return True


def _apply_edit(state: ConfigState, edit: Edit, revision: int) -> None:
    object_id = (edit.kind, edit.name)
    if edit.document is None:
        state.objects.pop(object_id, None)
    else:
        state.objects[object_id] = StoredObject(revision, edit.document)


def find_conflicts(
    state: ConfigState,
    edits: Iterable[Edit],
) -> list[Conflict]:
    """Return the edits whose object is not at the expected revision."""
    conflicts = []
    for edit in edits:
        stored = state.objects.get((edit.kind, edit.name))
        actual = 0 if stored is None else stored.revision
        if edit.expected is None or edit.expected == actual:
            continue
        document = None if stored is None else stored.document
        conflicts.append(
            Conflict(edit.kind, edit.name, edit.expected, actual, document),
        )
    return conflicts


def replace_state(state: ConfigState, newer: ConfigState) -> bool:
    """Replace the state by a newer one; return False if it is not newer."""
    if newer.revision <= state.revision:
        return False
    state.revision = newer.revision
    state.objects = newer.objects
    state.operations = newer.operations
    return True
