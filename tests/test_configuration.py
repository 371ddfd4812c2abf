"""Check that accepted configuration spreads, and never reverts."""

from dataclasses import replace

import anyio
import pytest
from spanfall_core.configuration import Edit
from spanfall_core.selectors import SelectorError, parse_selector
from spanfall_node.admin import check_object
from spanfall_node.config_errors import ConflictError
from spanfall_node.keyvalue import StoreError
from spanfall_node.node import Node
from spanfall_standins.faulty_store import FaultyStore
from spanfall_standins.fleet import Fleet, run_fleet
from support import SMALL, quick_options, run_async, wait_until

#: Figure of letter 1: accepted changes are in force within this time.
SPREAD_SECONDS = 7
CHANGES = 40
ONE_PLACE = replace(SMALL, data_centres=('north',), nodes=5)
OPERATORS = 4


def workspace_edit(name: str, label: str, expected: int | None = None) -> Edit:
    """Return an edit that labels a workspace."""
    document = {'name': name, 'labels': {'step': label}}
    edit = check_object('workspaces', document)
    return Edit(edit.kind, edit.name, edit.document, expected)


def step_of(node: Node, name: str) -> str:
    """Return the label of a workspace as a node has it in force."""
    row = node.catalog.workspaces.get(name)
    return '' if row is None else row.labels.get('step', '')


def test_change_is_in_force_everywhere() -> None:
    async def main() -> None:
        async with run_fleet(SMALL, quick_options()) as fleet:
            first = fleet.live_nodes()[0]
            edit = workspace_edit('night-shift', 'one')
            await first.config.accept([edit], 'test', 'op-1')
            with anyio.fail_after(SPREAD_SECONDS):
                await wait_until(lambda: all_have(fleet, 'night-shift', 'one'))

    run_async(main)


def test_changes_are_handed_on_along_a_chain() -> None:
    """With a fan-out of one, each node hands a change to the next."""

    async def main() -> None:
        async with run_fleet(ONE_PLACE, quick_options()) as fleet:
            for node in fleet.live_nodes():
                node.spread.fan_out = 1
                # Heartbeats must not bring what the chain misses.
                node.spread.bring_up_to_date = lambda link, revision: None
            first = fleet.live_nodes()[0]
            edit = workspace_edit('night-shift', 'one')
            await first.config.accept([edit], 'test', 'op-1')
            await wait_until(lambda: all_have(fleet, 'night-shift', 'one'))

    run_async(main)


def all_have(fleet: Fleet, name: str, label: str) -> bool:
    """Tell whether all live nodes have a label in force."""
    return all(step_of(node, name) == label for node in fleet.live_nodes())


def test_store_down_right_after_acceptance() -> None:
    async def main() -> None:
        store = FaultyStore()
        async with run_fleet(SMALL, quick_options(), store) as fleet:
            node = fleet.nodes['west-3']
            store.silent = True
            edit = workspace_edit('night-shift', 'two')
            await node.config.accept([edit], 'test', 'op-2')
            store.down = True
            await wait_until(lambda: all_have(fleet, 'night-shift', 'two'))
            late = await fleet.start_node('west-9', 'west')
            await wait_until(late.is_ready)
            assert step_of(late, 'night-shift') == 'two'

    run_async(main)


def test_conflict_names_what_changed() -> None:
    async def main() -> None:
        async with run_fleet(SMALL, quick_options()) as fleet:
            first, second = fleet.live_nodes()[:2]
            edit = workspace_edit('night-shift', 'one', 0)
            revision = await first.config.accept([edit], 'a', 'op-1')
            await fleet.wait_revision(revision)
            newer = workspace_edit('night-shift', 'two', revision)
            await second.config.accept([newer], 'b', 'op-2')
            late = workspace_edit('night-shift', 'three', revision)
            pattern = f'expected={revision}, actual={revision + 1}'
            with pytest.raises(ConflictError, match=pattern):
                await first.config.accept([late], 'c', 'op-3')

    run_async(main)


def test_lost_answer_is_settled_by_the_operation() -> None:
    async def main() -> None:
        store = FaultyStore()
        async with run_fleet(SMALL, quick_options(), store) as fleet:
            node = fleet.live_nodes()[0]
            store.lose_share = 1
            edit = workspace_edit('night-shift', 'one')
            revision = await node.config.accept([edit], 'a', 'op-1')
            store.lose_share = 0
            again = await node.config.accept([edit], 'a', 'op-1')
            assert again == revision

    run_async(main)


def race(seed: int, *off: str) -> list[str]:
    """Let operators race over a shaky store; return what was broken."""
    broken: list[str] = []

    async def main() -> None:
        store = FaultyStore(seed)
        options = quick_options(*off, lease=2)
        async with run_fleet(SMALL, options, store) as fleet:
            accepted: dict[str, int] = {}
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(shake, store, fleet)
                await operate_all(fleet, accepted)
                tasks.cancel_scope.cancel()
            store.down = False
            store.lose_share = 0
            newest = max(accepted.values(), default=0)
            with anyio.move_on_after(SPREAD_SECONDS):
                await fleet.wait_revision(newest)
            broken.extend(find_broken(fleet, accepted))

    run_async(main)
    return broken


async def operate_all(fleet: Fleet, accepted: dict[str, int]) -> None:
    """Let all operators work at once."""
    async with anyio.create_task_group() as tasks:
        for number in range(OPERATORS):
            tasks.start_soon(operate, fleet, number, accepted)


async def shake(store: FaultyStore, fleet: Fleet) -> None:
    """Take the store up and down and replace a node."""
    store.lose_share = 0.3
    for number in range(20):
        await anyio.sleep(0.15)
        store.down = number % 3 == 1
        if number == 4:
            fleet.nodes['north-4'].kill()
        if number == 8:
            await fleet.start_node('north-4', 'north')


async def operate(
    fleet: Fleet,
    number: int,
    accepted: dict[str, int],
) -> None:
    """Make changes through changing nodes; note those accepted."""
    for step in range(CHANGES // OPERATORS):
        nodes = fleet.live_nodes()
        node = nodes[(number + step) % len(nodes)]
        label = f'{number}-{step}'
        edit = workspace_edit(f'space-{step % 3}', label)
        try:
            accepted[label] = await node.config.accept(
                [edit],
                f'operator-{number}',
                label,
            )
        except StoreError:
            await anyio.sleep(0.1)
        await anyio.sleep(0.02)


def find_broken(fleet: Fleet, accepted: dict[str, int]) -> list[str]:
    """Compare each node with the accepted changes in their order."""
    newest = {}
    for label, revision in sorted(accepted.items(), key=lambda row: row[1]):
        newest[f'space-{int(label.split("-")[1]) % 3}'] = (label, revision)
    states = [
        {
            name: (stored.document['labels'].get('step'), stored.revision)
            for (kind, name), stored in node.config.state.objects.items()
            if kind == 'workspaces' and name in newest
        }
        for node in fleet.live_nodes()
    ]
    broken = [
        f'nodes differ: {state}' for state in states if state != states[0]
    ]
    revisions = sorted(accepted.values())
    if len(set(revisions)) != len(revisions):
        broken.append('two changes were accepted under one revision')
    for name, (label, revision) in newest.items():
        found = states[0].get(name, ('', 0))
        # An uncertain change may follow the last one known as accepted.
        if found[1] < revision or (found[1] == revision and found[0] != label):
            broken.append(f'{name}: {found} is older than {label}')
    return broken


@pytest.mark.parametrize('seed', [1, 2])
def test_racing_operators_never_lose_a_change(seed: int) -> None:
    assert not race(seed)


def test_without_revision_check_nodes_differ() -> None:
    assert race(1, 'revision-check')


def test_stale_node_cannot_overwrite_the_ring(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A node that slept through a whole lap of the ring must not win."""
    monkeypatch.setattr('spanfall_node.config_store.RING', 8)
    monkeypatch.setattr('spanfall_node.config_store.SNAPSHOT_EVERY', 2)

    async def main() -> None:
        async with run_fleet(SMALL, quick_options()) as fleet:
            asleep, awake = fleet.live_nodes()[:2]
            asleep.config.take_change = lambda change: True
            for number in range(20):
                edit = workspace_edit('night-shift', str(number))
                await awake.config.accept([edit], 'a', f'op-{number}')
            del asleep.config.take_change
            edit = workspace_edit('late-shift', 'x')
            revision = await asleep.config.accept([edit], 'b', 'late')
            assert revision == awake.config.state.revision + 1
            assert step_of(asleep, 'night-shift') == '19'

    run_async(main)


@pytest.mark.parametrize(
    ('text', 'labels', 'expected'),
    [
        ('', {}, True),
        ('a=1', {'a': '1'}, True),
        ('a==1', {'a': '2'}, False),
        ('a!=1', {}, True),
        ('a in (1, 2)', {'a': '2'}, True),
        ('a notin (1,2)', {'a': '2'}, False),
        ('a notin (1,2)', {}, True),
        ('a', {'a': ''}, True),
        ('!a', {'a': ''}, False),
        ('a=1, b , !c', {'a': '1', 'b': '2'}, True),
        ('in=1', {'in': '1'}, True),
    ],
)
def test_selectors(text: str, labels: dict[str, str], expected: bool) -> None:
    assert parse_selector(text).matches(labels) is expected


@pytest.mark.parametrize(
    ('text', 'column'),
    [('=1', 1), ('a=', 2), ('a in 1', 3), ('a in (1,)', 9), ('a,', 3)],
)
def test_selector_errors_show_the_column(text: str, column: int) -> None:
    with pytest.raises(SelectorError) as caught:
        parse_selector(text)
    assert caught.value.column == column
