"""Accept changes of configuration and keep the node's copy current.

The log is a ring of keys. Change N is accepted by compare-and-swap on slot
N modulo the ring, against the entry N - ring that it replaces. A node that
is behind finds a newer entry there and can never overwrite one, however long
it was paused. A snapshot is written before the ring comes round to changes
that are in no snapshot.
"""

import logging
from collections.abc import Callable, Sequence

from spanfall_api.changes import (
    HeadDocument,
    SnapshotDocument,
    dump_change,
    dump_objects,
    load_change,
    load_snapshot,
)
from spanfall_core.configuration import (
    Change,
    ConfigState,
    Edit,
    apply_change,
    find_conflicts,
    replace_state,
)

from spanfall_node.catalog import Catalog
from spanfall_node.config_errors import ConflictError, RacesLostError
from spanfall_node.context import Context
from spanfall_node.keyvalue import (
    KeyEntry,
    StoreError,
    StoreUnavailableError,
    StoreUncertainError,
)

logger = logging.getLogger(__name__)

#: Slots of the log.
RING = 512
#: Changes between two snapshots.
SNAPSHOT_EVERY = 128
#: Objects in one part of a snapshot; a part stays under half a megabyte.
PART_OBJECTS = 500
#: Times that one change is tried against concurrent ones.
MAX_RACES = 50

HEAD_KEY = 'config/head'
LOG_PREFIX = 'config/log/'

ChangeListener = Callable[[Change], None]


def slot_key(revision: int) -> str:
    """Return the key of the slot of a change."""
    return f'{LOG_PREFIX}{revision % RING:04d}'


class ConfigStore:
    """Hold the configuration in force at this node."""

    def __init__(self, context: Context, catalog: Catalog) -> None:
        """Start without a configuration; ``loaded`` tells when there is."""
        self.state = ConfigState()
        self.loaded = False
        self.heard_at = 0.0
        self.accepted: list[ChangeListener] = []
        self._context = context
        self._catalog = catalog
        self._waiting: dict[int, Change] = {}
        self._snapshot = 0

    async def load(self) -> None:
        """Read snapshot and log from the store, or raise StoreError."""
        store = self._context.store
        entry = await store.get(HEAD_KEY)
        state = ConfigState()
        if entry is not None:
            head = HeadDocument.model_validate_json(entry.value)
            prefix = f'config/snapshot/{head.revision}/'
            parts = await store.list_prefix(prefix)
            if len(parts.entries) != head.parts:
                raise StoreUnavailableError('the snapshot was replaced')
            state = load_snapshot(*(part.value for part in parts.entries))
            self._snapshot = head.revision
        listing = await store.list_prefix(LOG_PREFIX)
        self.take_state(state)
        self.take_entries(listing.entries)
        self.note_contact()
        self.loaded = True

    def note_contact(self) -> None:
        """Note that the store or a peer was heard."""
        self.heard_at = self._context.timers.now()

    def take_state(self, state: ConfigState) -> bool:
        """Take a whole newer state, from the store or from a peer."""
        if not replace_state(self.state, state):
            return False
        self._catalog.load(self.state)
        self._context.metrics.revision.set(self.state.revision)
        self._apply_waiting()
        return True

    def take_entries(self, entries: Sequence[KeyEntry]) -> None:
        """Take entries of the log, in whatever order they come."""
        changes = (load_change(entry.value) for entry in entries)
        for change in sorted(changes, key=lambda row: row.revision):
            self.take_change(change)

    def take_change(self, change: Change) -> bool:
        """Apply a change; keep one that comes early until its turn.

        Return False if changes before it are missing here.
        """
        if self._context.is_off('revision-check'):
            change = Change(
                self.state.revision + 1,
                change.operation_id,
                change.author,
                change.edits,
            )
        if change.revision > self.state.revision + 1:
            self._waiting[change.revision] = change
            return False
        if apply_change(self.state, change):
            self._catalog.update(
                self.state,
                [(edit.kind, edit.name) for edit in change.edits],
            )
            self._context.metrics.revision.set(self.state.revision)
            self._apply_waiting()
        return True

    async def accept(
        self,
        edits: Sequence[Edit],
        author: str,
        operation_id: str,
    ) -> int:
        """Commit a change and return its revision.

        Raise ConflictError if an edit expects another revision of its
        object, StoreUnavailableError if the change was certainly not
        accepted, and StoreUncertainError if that could not be found out;
        the operation id then tells later.
        """
        for _ in range(MAX_RACES):
            known = self.state.operations.get(operation_id)
            if known is not None:
                return known
            conflicts = find_conflicts(self.state, edits)
            if conflicts:
                raise ConflictError(conflicts)
            change = Change(
                self.state.revision + 1,
                operation_id,
                author,
                tuple(edits),
            )
            if await self._append(change):
                self._publish(change)
                return change.revision
            await self.catch_up()
        raise RacesLostError

    async def catch_up(self) -> None:
        """Read the changes that follow the state, from the store."""
        store = self._context.store
        entry = await store.get(slot_key(self.state.revision + 1))
        if entry is not None:
            change = load_change(entry.value)
            if change.revision == self.state.revision + 1:
                self.take_change(change)
                return
            if change.revision > self.state.revision:
                await self.load()

    async def _append(self, change: Change) -> bool:
        store = self._context.store
        key = slot_key(change.revision)
        held = await store.get(key)
        revision = 0
        if held is not None:
            if load_change(held.value).revision != change.revision - RING:
                return False
            revision = held.revision
        if change.revision - self._snapshot >= RING:
            await self.write_snapshot()
        try:
            return await store.replace(key, dump_change(change), revision)
        except StoreUncertainError:
            return await self._settle(key, change)

    async def _settle(self, key: str, change: Change) -> bool:
        """Find out whether an append took effect whose answer was lost.

        A write that is still under way cannot take effect after a later
        change was accepted in its slot's place, since both compare the same
        revision.
        """
        store = self._context.store
        held = await self._read_back(key)
        if held is not None:
            found = load_change(held.value)
            if found.operation_id == change.operation_id:
                return True
            if found.revision >= change.revision:
                return False
        revision = 0 if held is None else held.revision
        if await store.replace(key, dump_change(change), revision):
            return True
        again = await self._read_back(key)
        if again is None:
            return False
        return load_change(again.value).operation_id == change.operation_id

    async def _read_back(self, key: str) -> KeyEntry | None:
        try:
            return await self._context.store.get(key)
        except StoreError as exc:
            raise StoreUncertainError(str(exc)) from exc

    def _publish(self, change: Change) -> None:
        self.take_change(change)
        self.note_contact()
        for listener in self.accepted:
            listener(change)
        if change.revision % SNAPSHOT_EVERY == 0:
            self._context.tasks.start_soon(self._try_snapshot)

    async def _try_snapshot(self) -> None:
        try:
            await self.write_snapshot()
        except StoreError as exc:
            logger.warning(
                'No snapshot of revision %s: %s; the next change tries again',
                self.state.revision,
                exc,
            )

    async def write_snapshot(self) -> None:
        """Write the state in parts, then name it in the head key."""
        store = self._context.store
        revision = self.state.revision
        operations = dict(self.state.operations)
        objects = dump_objects(self.state)
        starts = range(0, max(1, len(objects)), PART_OBJECTS)
        for number, start in enumerate(starts):
            part = SnapshotDocument(
                revision=revision,
                objects=tuple(objects[start : start + PART_OBJECTS]),
                operations={} if number else operations,
            )
            key = f'config/snapshot/{revision}/{number:04d}'
            await store.put(key, part.model_dump_json().encode())
        await self._move_head(
            HeadDocument(revision=revision, parts=len(starts))
        )

    async def _move_head(self, head: HeadDocument) -> None:
        store = self._context.store
        entry = await store.get(HEAD_KEY)
        old = None
        if entry is not None:
            old = HeadDocument.model_validate_json(entry.value)
            if old.revision >= head.revision:
                self._snapshot = old.revision
                return
        seen = 0 if entry is None else entry.revision
        raw = head.model_dump_json().encode()
        if not await store.replace(HEAD_KEY, raw, seen):
            return
        self._snapshot = head.revision
        for number in range(0 if old is None else old.parts):
            await store.delete(f'config/snapshot/{old.revision}/{number:04d}')

    def _apply_waiting(self) -> None:
        following = self._waiting.pop(self.state.revision + 1, None)
        if following is not None:
            self.take_change(following)
            return
        self._waiting = {
            revision: change
            for revision, change in self._waiting.items()
            if revision > self.state.revision
        }
