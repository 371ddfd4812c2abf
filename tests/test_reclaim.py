"""Provoke the loss of upstreams, homes and entries under running streams."""

from collections.abc import Awaitable, Callable

import anyio
import pytest
from spanfall_core.tables import UpstreamState
from spanfall_node.node import Node
from spanfall_standins.engine import Engine, EngineSpeed
from spanfall_standins.fleet import Fleet, run_fleet
from support import (
    SMALL,
    Seen,
    chat,
    chat_body,
    expected_text,
    new_client,
    quick_options,
    reattach,
    run_async,
    running_engine,
    wait_until,
)

TOKENS = 300

Disturb = Callable[[Fleet, Node, Seen], Awaitable[None]]


def tell_leaving(fleet: Fleet, name: str, seconds: float) -> None:
    """Let the cloud announce that it takes back the host of an upstream."""
    fleet.cloud.announce(name, 1, seconds)


async def reclaim_running(fleet: Fleet, seen: Seen, *, announced: bool) -> None:
    """Take away the engine that runs the stream of ``seen``."""
    name = running_engine(fleet, seen.request_id)
    if announced:
        tell_leaving(fleet, name, 1.2)
        await wait_until(
            lambda: running_engine(fleet, seen.request_id) not in {'', name},
        )
    fleet.hosts[name].kill()


def stream_through(
    disturb: Disturb,
    *off: str,
    at_home: bool = False,
) -> Seen:
    """Stream a chat, disturb it twice on the way, return what was seen.

    Engines hold the stream until it was disturbed: beside busy processes it
    was over before the test acted.
    """
    seen = Seen()

    async def main() -> None:
        async with run_fleet(SMALL, quick_options(*off)) as fleet:
            home = fleet.acting_home('writer')
            entry = home if at_home else fleet.entry_apart_from(home)
            async with (
                new_client('managers') as client,
                anyio.create_task_group() as tasks,
            ):
                body = chat_body('audit', TOKENS)
                hold_streams(fleet, TOKENS // 5)
                tasks.start_soon(chat, fleet, entry, client, seen, body)
                for offset, after in (
                    (TOKENS // 5, TOKENS // 2),
                    (TOKENS // 2, None),
                ):
                    await seen.wait_for(offset)
                    await disturb(fleet, entry, seen)
                    hold_streams(fleet, after)

    run_async(main)
    return seen


def hold_streams(fleet: Fleet, offset: int | None) -> None:
    """Let all engines wait at a token, or no more."""
    for worker in fleet.workers.values():
        if isinstance(worker, Engine):
            worker.held_at = offset


@pytest.mark.parametrize('announced', [True, False])
def test_stream_survives_two_lost_engines(announced: bool) -> None:
    async def disturb(fleet: Fleet, entry: Node, seen: Seen) -> None:
        await reclaim_running(fleet, seen, announced=announced)

    seen = stream_through(disturb)
    assert seen.finished, seen.error
    assert seen.text == expected_text('audit', TOKENS)


def test_without_resume_the_stream_breaks() -> None:
    async def disturb(fleet: Fleet, entry: Node, seen: Seen) -> None:
        if not seen.error:
            await reclaim_running(fleet, seen, announced=False)
            await wait_until(lambda: bool(seen.error))

    seen = Seen()

    async def main() -> None:
        async with run_fleet(SMALL, quick_options('resume')) as fleet:
            entry = fleet.entry_apart_from(fleet.acting_home('writer'))
            async with (
                new_client('managers') as client,
                anyio.create_task_group() as tasks,
            ):
                body = chat_body('audit', TOKENS)
                tasks.start_soon(chat, fleet, entry, client, seen, body)
                await wait_until(lambda: seen.last_id >= TOKENS // 5)
                await disturb(fleet, entry, seen)

    run_async(main)
    assert not seen.finished
    assert seen.error == 'upstream-failed'


def test_stream_survives_two_lost_homes() -> None:
    async def disturb(fleet: Fleet, entry: Node, seen: Seen) -> None:
        homes = [
            node
            for node in fleet.live_nodes()
            if seen.request_id in node.home.held and node is not entry
        ]
        for node in homes:
            node.kill()

    seen = stream_through(disturb)
    assert seen.finished, seen.error
    assert seen.text == expected_text('audit', TOKENS)


def lose_entry(*, at_home: bool, off: tuple[str, ...] = ()) -> Seen:
    """Kill the entry in the middle of a stream and reattach elsewhere."""
    seen = Seen()

    async def main() -> None:
        async with run_fleet(SMALL, quick_options(*off)) as fleet:
            home = fleet.acting_home('writer')
            entry = home if at_home else fleet.entry_apart_from(home)
            async with new_client('managers') as client:
                async with anyio.create_task_group() as tasks:
                    body = chat_body('audit', TOKENS)
                    tasks.start_soon(chat, fleet, entry, client, seen, body)
                    await wait_until(lambda: seen.last_id >= TOKENS // 3)
                    entry.kill()
                assert not seen.finished
                seen.error = ''
                other = fleet.entry_apart_from(entry)
                await reattach(fleet, other, client, seen)

    run_async(main)
    return seen


@pytest.mark.parametrize('at_home', [True, False])
def test_caller_reattaches_after_its_entry_died(at_home: bool) -> None:
    seen = lose_entry(at_home=at_home)
    assert seen.finished, seen.error
    assert seen.text == expected_text('audit', TOKENS)


def test_without_second_copy_it_is_lost() -> None:
    seen = lose_entry(at_home=True, off=('two-copies',))
    assert not seen.finished
    assert 'unknown-request' in seen.error


def test_drained_home_hands_its_streams_on() -> None:
    async def main() -> None:
        async with run_fleet(SMALL, quick_options(drain=1.0)) as fleet:
            home = fleet.acting_home('writer')
            entry = fleet.entry_apart_from(home)
            seen = Seen()
            async with (
                new_client('managers') as client,
                anyio.create_task_group() as tasks,
            ):
                body = chat_body('drain', TOKENS * 3)
                tasks.start_soon(chat, fleet, entry, client, seen, body)
                await wait_until(lambda: seen.last_id >= TOKENS // 5)
                home.stop()
                await home.stopped.wait()
            assert seen.finished, seen.error
            assert seen.text == expected_text('drain', TOKENS * 3)

    run_async(main)


def test_drained_entry_ends_with_a_resume_hint() -> None:
    async def main() -> None:
        async with run_fleet(SMALL, quick_options(drain=0.5)) as fleet:
            home = fleet.acting_home('writer')
            entry = fleet.entry_apart_from(home)
            seen = Seen()
            async with new_client('managers') as client:
                async with anyio.create_task_group() as tasks:
                    body = chat_body('drain', TOKENS * 3)
                    hold_streams(fleet, TOKENS // 5)
                    tasks.start_soon(chat, fleet, entry, client, seen, body)
                    await wait_until(lambda: seen.last_id >= TOKENS // 5)
                    entry.stop()
                    hold_streams(fleet, None)
                assert seen.resumed, seen.error
                other = fleet.entry_apart_from(entry)
                await reattach(fleet, other, client, seen)
            assert seen.finished, seen.error
            assert seen.text == expected_text('drain', TOKENS * 3)

    run_async(main)


@pytest.mark.parametrize('source', ['notice', 'host-list', 'refusal', 'off'])
def test_leaving_upstream_gets_no_new_work(source: str) -> None:
    """Count what is sent to an upstream after it was announced to leave."""

    async def main() -> None:
        off = ('leaving-notice',) if source == 'off' else ()
        async with run_fleet(SMALL, quick_options(*off)) as fleet:
            fleet.cloud.silent = source == 'host-list'
            worker = fleet.workers['writer-1']
            if source == 'refusal':
                worker.upkeep.leaving = 5.0
            else:
                fleet.cloud.announce('writer-1', 1, 5)
                await wait_until_left(fleet, bounded=source == 'off')
            async with new_client('drivers') as client:
                for number in range(12):
                    entry = fleet.live_nodes()[number % 4]
                    seen = Seen()
                    body = chat_body(f'late {number}', 3)
                    await chat(fleet, entry, client, seen, body)
                    assert seen.finished, seen.error
            assert bool(worker.records) is (source == 'off')
            if source == 'refusal':
                await wait_until_left(fleet, bounded=False)

    run_async(main)


async def wait_until_left(fleet: Fleet, *, bounded: bool) -> None:
    """Wait until the acting home counts the upstream as leaving."""
    home = fleet.acting_home('writer')
    pool = home.home.pools.find('writer')
    row = pool.upstreams['writer-1']
    with anyio.move_on_after(2 if bounded else 20):
        await wait_until(lambda: row.state is UpstreamState.LEAVING)


def test_node_that_starts_later_knows_who_leaves() -> None:
    async def main() -> None:
        async with run_fleet(SMALL, quick_options()) as fleet:
            fleet.cloud.announce('writer-1', 1, 30)
            await wait_until_left(fleet, bounded=False)
            late = await fleet.start_node('north-9', 'north')
            await wait_until(late.is_ready)
            await wait_until(lambda: knows_leaving(late))

    run_async(main)


def knows_leaving(node: Node) -> bool:
    """Tell whether a node counts writer-1 as leaving."""
    pool = node.home.pools.find('writer')
    row = pool.upstreams['writer-1']
    return row.state is UpstreamState.LEAVING


@pytest.mark.parametrize('at_home', [True, False])
def test_killed_entry_breaks_a_waiting_call(at_home: bool) -> None:
    """A caller that waits for a first token must see its entry die."""

    async def main() -> None:
        options = quick_options()
        options.engine = EngineSpeed(step_seconds=5)
        async with run_fleet(SMALL, options) as fleet:
            home = fleet.acting_home('writer')
            entry = home if at_home else fleet.entry_apart_from(home)
            seen = Seen()
            async with (
                new_client('managers') as client,
                anyio.create_task_group() as tasks,
            ):
                body = chat_body('audit', 5)
                tasks.start_soon(chat, fleet, entry, client, seen, body)
                await wait_until(lambda: bool(entry.entry.relays))
                await anyio.sleep(0.1)
                entry.kill()
                with anyio.fail_after(5):
                    await wait_until(lambda: bool(seen.error))

    run_async(main)


@pytest.mark.parametrize(('off', 'is_same'), [((), True), (('prefix',), False)])
def test_next_home_resumes_at_the_cached_prompt(
    off: tuple[str, ...],
    is_same: bool,
) -> None:
    """The entry tells the next home which upstream has the prompt."""
    prompt = 'history of the rink ' * 200

    async def main() -> None:
        async with run_fleet(SMALL, quick_options(*off)) as fleet:
            home = fleet.acting_home('writer')
            entry = fleet.entry_apart_from(home)
            seen = Seen()
            async with (
                new_client('managers') as client,
                anyio.create_task_group() as tasks,
            ):
                # The upstream that is not the first choice of an empty pool.
                for name in ('writer-1', 'writer-2'):
                    pool = home.home.pools.find('writer')
                    pool.upstreams[name].ejected_until = float('inf')
                body = chat_body(prompt, TOKENS)
                tasks.start_soon(chat, fleet, entry, client, seen, body)
                await seen.wait_for(TOKENS // 3)
                home.kill()
            assert seen.finished, seen.error
            records = fleet.workers['writer-3'].records
            assert (len(records) == 2) is is_same
            if is_same:
                assert records[1].computed < records[0].computed

    run_async(main)


def test_caller_is_back_before_loss_is_noticed() -> None:
    """The node with the second copy answers while it is still a copy."""

    async def main() -> None:
        async with run_fleet(SMALL, quick_options()) as fleet:
            home = fleet.acting_home('writer')
            seen = Seen()
            async with (
                new_client('managers') as client,
                anyio.create_task_group() as tasks,
            ):
                body = chat_body('audit', TOKENS)
                tasks.start_soon(chat, fleet, home, client, seen, body)
                await seen.wait_for(TOKENS // 3)
                request_id = seen.request_id
                keeper = next(
                    node
                    for node in fleet.live_nodes()
                    if node is not home and request_id in node.entry.relays
                )
                # Only the copy may answer: the home says it has nothing.
                held = home.home.held.rows.pop(request_id)
                home.home.followers.attach_copy = lambda link, frame: False
                again = Seen(request_id)
                tasks.start_soon(reattach, fleet, keeper, client, again)
                other = Seen(request_id)
                entry = next(
                    node
                    for node in fleet.live_nodes()
                    if node not in {home, keeper}
                )
                tasks.start_soon(reattach, fleet, entry, client, other)
                await wait_until(lambda: held.done_at is not None)
            expected = expected_text('audit', TOKENS)
            assert (again.text, again.error) == (expected, '')
            assert (other.text, other.error) == (expected, '')

    run_async(main)


def test_second_wave_during_a_move() -> None:
    """The target of a move leaves, too, while the state is exported."""

    async def main() -> None:
        async with run_fleet(SMALL, quick_options()) as fleet:
            home = fleet.acting_home('writer')
            entry = fleet.entry_apart_from(home)
            seen = Seen()
            async with (
                new_client('managers') as client,
                anyio.create_task_group() as tasks,
            ):
                body = chat_body('x' * 20_000, TOKENS * 3)
                tasks.start_soon(chat, fleet, entry, client, seen, body)
                await seen.wait_for(TOKENS // 5)
                source = running_engine(fleet, seen.request_id)
                fleet.workers[source].upkeep.faults.delay = 0.5
                fleet.cloud.announce(source, 1, 1.2)
                row = home.home.held.rows[seen.request_id].row
                await wait_until(lambda: row.upstream_id != source)
                fleet.cloud.announce(row.upstream_id, 1, 1.2)
            assert seen.finished, seen.error
            assert seen.text == expected_text('x' * 20_000, TOKENS * 3)

    run_async(main)
