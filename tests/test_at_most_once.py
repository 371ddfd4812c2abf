"""Check that a job sheet runs at most once, whatever is lost."""

import json
import time

import anyio
import httpx
import pytest
from anyio.abc import TaskGroup
from spanfall_api.frames import AskPermit
from spanfall_core.tables import RequestState
from spanfall_node.admin import check_object
from spanfall_node.node import Node
from spanfall_standins.cutter import Cutter
from spanfall_standins.faulty_store import FaultyStore
from spanfall_standins.fleet import Fleet, run_fleet
from support import (
    SMALL,
    Json,
    new_client,
    quick_options,
    run_async,
    wait_until,
)

SHEET = b'{"rink": "ipswich"}'


async def post_sheet(
    fleet: Fleet,
    entry: Node,
    key: str = '',
) -> httpx.Response | None:
    """Post a job sheet; return None if the connection breaks."""
    headers = {'Idempotency-Key': key} if key else {}
    async with new_client('drivers') as client:
        try:
            return await client.post(
                f'{fleet.caller_url(entry)}/services/desk/jobs',
                headers=headers,
                content=SHEET,
            )
        except httpx.HTTPError:
            return None


def count_runs(fleet: Fleet, key: str = '') -> int:
    """Return how many runs the workers recorded, by key if given."""
    return sum(
        not key or record.key == key
        for worker in fleet.workers.values()
        for record in worker.records
        if hasattr(record, 'key')
    )


def set_faults(fleet: Fleet, **faults: object) -> None:
    """Set faults at all application workers."""
    for name, worker in fleet.workers.items():
        if name.startswith('desk'):
            for fault, setting in faults.items():
                setattr(worker.upkeep.faults, fault, setting)


def problem_of(reply: httpx.Response) -> Json:
    """Return reason and run of a refusal."""
    document = reply.json()
    return {'reason': document['reason'], 'run': document['run']}


UNKNOWN = {'reason': 'outcome-unknown', 'run': 'unknown'}


def test_lost_claim_answer_runs_once() -> None:
    async def main() -> None:
        store = FaultyStore()
        async with run_fleet(SMALL, quick_options(), store) as fleet:
            store.lose_prefix = 'claims/'
            store.lose = 1
            reply = await post_sheet(fleet, fleet.live_nodes()[0], 'k1')
            assert reply is not None
            assert reply.status_code == 200, reply.text
            assert count_runs(fleet, 'k1') == 1

    run_async(main)


def test_retries_through_two_nodes_run_once() -> None:
    async def main() -> None:
        async with run_fleet(SMALL, quick_options()) as fleet:
            replies: list[httpx.Response | None] = []

            async def post(entry: Node) -> None:
                replies.append(await post_sheet(fleet, entry, 'k2'))

            async with anyio.create_task_group() as tasks:
                for entry in fleet.live_nodes():
                    tasks.start_soon(post, entry)
            later = await post_sheet(fleet, fleet.live_nodes()[1], 'k2')
            assert count_runs(fleet, 'k2') == 1
            bodies = {reply.text for reply in (*replies, later)}
            assert len(bodies) == 1
            assert json.loads(bodies.pop())['body'] == SHEET.decode()

    run_async(main)


def test_two_acting_homes_run_a_key_once() -> None:
    """Two nodes that both believe they act must not both run a key."""

    async def main() -> None:
        async with run_fleet(SMALL, quick_options()) as fleet:
            first, second = fleet.live_nodes()[:2]
            for node in (first, second):
                own = (node.cfg.node_id,)
                node.members.homes_of = lambda service, homes=own: homes
            replies: list[httpx.Response | None] = []

            async def post(entry: Node) -> None:
                replies.append(await post_sheet(fleet, entry, 'k3'))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(post, first)
                tasks.start_soon(post, second)
            assert count_runs(fleet, 'k3') == 1
            statuses = sorted(reply.status_code for reply in replies)
            assert statuses == [200, 409]

    run_async(main)


def test_without_claims_a_key_runs_twice() -> None:
    async def main() -> None:
        async with run_fleet(SMALL, quick_options('claims')) as fleet:
            for node in fleet.live_nodes()[:2]:
                own = (node.cfg.node_id,)
                node.members.homes_of = lambda service, homes=own: homes
                await post_sheet(fleet, node, 'k4')
            assert count_runs(fleet, 'k4') == 2

    run_async(main)


@pytest.mark.parametrize('key', ['', 'k5'])
def test_home_lost_while_running_is_unknown(key: str) -> None:
    async def main() -> None:
        async with run_fleet(SMALL, quick_options()) as fleet:
            set_faults(fleet, paused=True)
            home = fleet.acting_home('desk')
            entry = fleet.entry_apart_from(home)
            replies: list[httpx.Response | None] = []

            async def post() -> None:
                replies.append(await post_sheet(fleet, entry, key))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(post)
                await wait_until(lambda: is_running(home))
                home.kill()
            set_faults(fleet, paused=False)
            assert replies[0] is not None
            problem = problem_of(replies[0])
            assert problem['run'] == 'unknown'
            assert count_runs(fleet) <= 1

    run_async(main)


def is_running(home: Node) -> bool:
    """Tell whether a request runs for this home."""
    return any(
        row.state is RequestState.RUNNING
        for pool in home.home.pools.all()
        for row in pool.requests.values()
    )


def test_home_lost_before_the_run_is_repeated() -> None:
    """A request that was only queued goes to the next home and runs once."""

    async def main() -> None:
        async with run_fleet(SMALL, quick_options()) as fleet:
            home = fleet.acting_home('desk')
            entry = fleet.entry_apart_from(home)
            pool = home.home.pools.find('desk')
            for row in pool.upstreams.values():
                row.ejected_until = float('inf')
            replies: list[httpx.Response | None] = []

            async def post() -> None:
                replies.append(await post_sheet(fleet, entry))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(post)
                await wait_until(lambda: bool(pool.queued))
                home.kill()
            assert replies[0] is not None
            assert replies[0].status_code == 200, replies[0].text
            assert count_runs(fleet) == 1

    run_async(main)


@pytest.mark.parametrize(
    ('request_bytes', 'answer_bytes', 'most_runs'),
    [
        # Before, in and after the request, and in the answer.
        (0, None, 0),
        (60, None, 0),
        (None, 0, 1),
        (None, 20, 1),
    ],
)
def test_connection_cut_is_unknown(
    request_bytes: int | None,
    answer_bytes: int | None,
    most_runs: int,
) -> None:
    async def main() -> None:
        async with (
            run_fleet(SMALL, quick_options()) as fleet,
            anyio.create_task_group() as tasks,
        ):
            await put_cutters(fleet, tasks, request_bytes, answer_bytes)
            reply = await post_sheet(fleet, fleet.live_nodes()[0])
            assert problem_of(reply) == UNKNOWN
            assert count_runs(fleet) <= most_runs
            tasks.cancel_scope.cancel()

    run_async(main)


async def put_cutters(
    fleet: Fleet,
    tasks: TaskGroup,
    request_bytes: int | None,
    answer_bytes: int | None,
) -> None:
    """Put a cutter before each application worker."""
    edits = []
    for kind, row in fleet.objects():
        if kind == 'upstreams' and row['name'].startswith('desk'):
            cutter = Cutter(fleet.hosts[row['name']].port)
            cutter.request_bytes = request_bytes
            cutter.answer_bytes = answer_bytes
            await cutter.start(tasks)
            row['address'] = f'http://127.0.0.1:{cutter.port}'
            edits.append(check_object(kind, row))
    config = fleet.live_nodes()[0].config
    await fleet.wait_revision(await config.accept(edits, 'test', 'cutters'))


def test_refused_connection_is_retried() -> None:
    async def main() -> None:
        async with run_fleet(SMALL, quick_options()) as fleet:
            fleet.hosts['desk-1'].kill()
            for number in range(4):
                entry = fleet.live_nodes()[number % 4]
                reply = await post_sheet(fleet, entry)
                assert reply.status_code == 200, reply.text
            assert count_runs(fleet) == 4

    run_async(main)


def test_store_outage_refuses_as_not_run() -> None:
    async def main() -> None:
        store = FaultyStore()
        options = quick_options(claim_wait=0.5)
        async with run_fleet(SMALL, options, store) as fleet:
            store.down = True
            keyed = await post_sheet(fleet, fleet.live_nodes()[0], 'k6')
            assert problem_of(keyed) == {
                'reason': 'store-unavailable',
                'run': 'not-run',
            }
            plain = await post_sheet(fleet, fleet.live_nodes()[0])
            assert plain.status_code == 200
            assert count_runs(fleet, 'k6') == 0
            store.down = False
            again = await post_sheet(fleet, fleet.live_nodes()[1], 'k6')
            assert again.status_code == 200
            assert count_runs(fleet, 'k6') == 1

    run_async(main)


def test_late_answer_after_the_timeout_is_unknown() -> None:
    async def main() -> None:
        async with run_fleet(SMALL, quick_options()) as fleet:
            home = fleet.acting_home('desk')
            service = home.home.pools.service('desk')
            short = service.model_copy(update={'idle_seconds': 0.2})
            home.catalog.services['desk'] = short
            set_faults(fleet, delay=0.6)
            reply = await post_sheet(fleet, fleet.live_nodes()[0])
            assert problem_of(reply) == UNKNOWN
            await anyio.sleep(0.6)
            assert count_runs(fleet) <= 1

    run_async(main)


def test_old_claims_are_deleted_but_the_last() -> None:
    async def main() -> None:
        store = FaultyStore()
        async with run_fleet(SMALL, quick_options(), store) as fleet:
            entry = fleet.live_nodes()[0]
            for number in range(3):
                await post_sheet(fleet, entry, f'old-{number}')
            home = fleet.acting_home('desk')
            await home.claims.clean_all(time.time() + 1)
            left = await store.list_prefix('claims/desk/')
            assert [row.key for row in left.entries] == [
                'claims/desk/000000000002',
            ]
            again = await post_sheet(fleet, entry, 'new')
            assert again.status_code == 200

    run_async(main)


def test_claim_is_kept_over_a_refused_connection() -> None:
    """A claimed call that certainly did not run goes to another worker."""

    async def main() -> None:
        async with run_fleet(SMALL, quick_options()) as fleet:
            fleet.hosts['desk-1'].kill()
            for number in range(4):
                entry = fleet.live_nodes()[number]
                reply = await post_sheet(fleet, entry, f'kept-{number}')
                assert reply.status_code == 200, reply.text
                assert count_runs(fleet, f'kept-{number}') == 1

    run_async(main)


def test_permit_is_asked_again_for_a_new_attempt() -> None:
    """The entry submits again before the home has noticed the lost link."""

    async def main() -> None:
        async with run_fleet(SMALL, quick_options()) as fleet:
            home = fleet.acting_home('desk')
            entry = fleet.entry_apart_from(home)
            links = entry.context.links
            asked: list[object] = []
            links.subscribe(AskPermit, lambda link, frame: asked.append(frame))
            replies: list[httpx.Response | None] = []

            async def post() -> None:
                replies.append(await post_sheet(fleet, entry))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(post)
                await wait_until(lambda: bool(asked))
                entry.entry.start()
                relay = next(iter(entry.entry.relays.values()))
                relay.attempt += 1
                entry.entry._assign(relay)
            assert replies[0].status_code == 200, replies[0].text
            assert count_runs(fleet) == 1

    run_async(main)
