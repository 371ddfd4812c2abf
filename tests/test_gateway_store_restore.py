"""The store comes back from a copy: revisions go back, leases are gone."""

from dataclasses import replace

import anyio
import msgspec
from gateway_world import ask, in_world
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_standins.gateway.dialect import UPSTREAM_PREFIX
from spanfall_standins.gateway.upstream import whole
from support import wait_until

#: Seconds within which a change is to be in force, as the platform asks.
APPLIED = 2.0
DRAINED = 2.0
#: Writes of others that are lost: their revisions are given out again.
LOST_WRITES = 200


async def restored_gateways(world):
    """Start two gateways; let them follow the store past a copy of it."""
    gateways = [await world.add_gateway() for _ in range(2)]
    copy = world.store.copy()
    world.store.revision += LOST_WRITES
    world.configure(body_bytes=11)
    revision = world.store.revision
    await wait_until(
        lambda: (
            all(row.limits.body_bytes == 11 for row in gateways)
            and any(row.directory.revision >= revision for row in gateways)
        ),
    )
    world.store.restore(copy)
    return gateways


@in_world
async def test_a_change_after_a_restore_is_in_force(world):
    """Guards against a version left out since its revision is a lower one."""
    gateways = await restored_gateways(world)
    world.configure(body_bytes=12)
    await anyio.sleep(APPLIED)
    assert [row.limits.body_bytes for row in gateways] == [12, 12]


@in_world
async def test_one_that_leaves_after_a_restore(world):
    """Guards against a listing left out since its revision is a lower one."""
    upstreams = [await world.add_upstream(whole()) for _ in range(2)]
    gateways = await restored_gateways(world)
    world.configure(body_bytes=12)
    let_leave(world, upstreams[0])
    await anyio.sleep(DRAINED)
    before = len(upstreams[0].seen)
    for number, state in enumerate(gateways * 4):
        answer = await ask(state, '/any/1', attempt=f'a{number}')
        assert answer.status == 200
    assert len(upstreams[0].seen) == before


def let_leave(world, upstream):
    """Let an upstream write that it leaves."""
    key = f'{UPSTREAM_PREFIX}{upstream.lifetime}'
    entry = msgspec.json.decode(
        world.store.items[key].content,
        type=ListedUpstream,
    )
    leaving = msgspec.json.encode(replace(entry, leaving=True))
    world.store.put(key, leaving.decode())
