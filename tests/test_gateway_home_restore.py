"""Test the home, its lease and its fencing token across store restores."""

from unittest.mock import patch

import anyio
import pytest
from gateway_world import SERVICE, in_world
from spanfall_core.gateway.crashes.crashes import QUARANTINE_SECONDS
from spanfall_node.gateway.duties.capacity_duty import CapacityPlanner
from spanfall_node.gateway.duties.duties import CloudClient
from spanfall_node.gateway.home import leadership
from spanfall_node.gateway.links.crash_messages import Quarantines
from spanfall_node.gateway.net.ports import Write
from spanfall_node.gateway.store.crash_record import CRASHES_KEY
from spanfall_node.gateway.store.needs_record import NEEDS_KEY
from spanfall_node.gateway.store.quota_record import SPENDING_KEY
from spanfall_node.gateway.store.store_errors import (
    ConditionFailedError,
    StoreRestoredError,
)
from spanfall_node.gateway.tables.tenure import home_key
from spanfall_standins.gateway.dialect import PlainWorkspace
from support import wait_until
from test_gateway_crash_spread import IDENTITY
from test_gateway_home import home_of, two_gateways
from test_gateway_store_restore import store_client
from test_gateway_succession import ending_gateway, is_home
from test_gateway_unit_requests import recorded

#: Seconds after requesting a lease for which its holder acts.
LEASE_VALID_SECONDS = 2.0
#: Seconds within which the home must write its records again.
REWRITE_TIMEOUT_SECONDS = 10.0
#: Seconds longer than any test runs.
VERY_LONG_SECONDS = 1e9


def follows(entry, home):
    """Tell whether an entry follows a home in its current epoch."""
    epoch = home.tenure.epoch
    return entry.home is not None and entry.home.epoch == epoch


# Guards against entries that take the home's new record for an older one, and
# against a fencing token that decreases.
@in_world
async def test_the_home_stays_home_after_a_restore(world):
    copy = world.store.copy()
    home, other = await two_gateways(world)
    before = home.tenure
    world.store.restore(copy)
    await wait_until(lambda: home.tenure.epoch > before.epoch)
    assert is_home(home)
    assert home.tenure.began_at == before.began_at
    assert home.tenure.may_allocate(home.timers.now())
    assert home_key(home.tenure.timeline) in world.store.items
    await wait_until(lambda: follows(other, home))
    await wait_until(lambda: other.home_answered_at > home.tenure.renewed_at)


# Guards against the use of a lease number from before the restore, which the
# restored store may have granted to another node.
@in_world
async def test_a_restore_replaces_the_lease(world):
    home, other = await two_gateways(world)
    before = home.tenure
    world.store.restore(world.store.copy())
    await wait_until(lambda: home.tenure.epoch > before.epoch)
    held = world.store.items[home_key(home.tenure.timeline)]
    assert held.lease == home.tenure.lease
    assert held.lease != before.lease
    assert home_key(before.timeline) not in world.store.items
    await wait_until(lambda: follows(other, home))


# Guards against a home that continues although another node holds the record
# of the next timeline.
@in_world
async def test_a_home_yields_to_another_after_a_restore(world):
    home, other = await two_gateways(world)
    world.store.restore(world.store.copy())
    record = (
        f'{{"node":"x","address":"{other.cfg.listen.links}",'
        f'"incarnation":"{other.incarnation}","timeline":1}}'
    )
    world.store.leases[7] = (1000, world.store.clock())
    world.store.put(home_key(1), record, 7)
    await wait_until(lambda: not is_home(home))
    await anyio.sleep(LEASE_VALID_SECONDS)
    assert not is_home(home)
    assert world.store.items[home_key(1)].content == record


# Guards against two homes that allocate the same units: the restored store has
# lost the lease of the first home, which may act until that lease expires.
@in_world
async def test_a_restore_delays_the_next_allocation(world):
    world.configure(workspaces=[PlainWorkspace('w', ['k'], 100, 100)])
    async with ending_gateway(world) as (first, life):
        await wait_until(lambda: is_home(first))
        other = await world.add_gateway()
        await wait_until(lambda: other.home_answered_at > 0)
        world.store.error_status = 503
        await wait_until(lambda: first.tenure.is_renewal_failing)
        epoch = first.tenure.epoch
        life.cancel()
    world.store.restore(world.store.copy())
    world.store.error_status = 0
    restored_at = other.timers.now()
    await wait_until(lambda: is_home(other))
    assert other.tenure.epoch > epoch
    assert (
        other.tenure.allocates_from >= restored_at + LEASE_VALID_SECONDS - 0.1
    )
    await wait_until(lambda: other.tenure.may_allocate(other.timers.now()))
    assert home_of(other) is other


# Guards against conditions that match a revision reused after a restore.
@in_world
async def test_conditions_from_before_a_restore_fail(world):
    async with store_client(world) as store:
        world.store.revision = 8
        revision = world.store.put('a', 'one')
        known = (await store.get('a')).revision
        world.store.restore(world.store.copy())
        write = (Write('b', b'two'),)
        with pytest.raises(StoreRestoredError):
            await store.transact(0, {'a': known}, write)
        world.store.items.clear()
        world.store.revision = revision - 1
        assert world.store.put('a', 'another') == revision
        with pytest.raises(ConditionFailedError):
            await store.transact(1, {'a': known}, write)
        with pytest.raises(StoreRestoredError):
            await store.renew(0, 7)
        assert 'b' not in world.store.items


# Guards against records that the home assumes are written although a restore
# has lost them.
@in_world
async def test_lost_records_are_written_again(world):
    home = await world.add_gateway()
    await wait_until(lambda: is_home(home))
    copy = world.store.copy()
    home.needs = {'llm': 12.5}
    quarantined = Quarantines({IDENTITY: QUARANTINE_SECONDS})
    home.crashes.merge_quarantines(quarantined, home.timers.now())
    written = {NEEDS_KEY, CRASHES_KEY}
    await wait_until(lambda: written <= world.store.items.keys())
    world.store.restore(copy)
    assert not written & world.store.items.keys()
    with anyio.fail_after(REWRITE_TIMEOUT_SECONDS):
        await wait_until(lambda: written <= world.store.items.keys())


# Guards against an old spending record that a restore brings back and that
# stays because the home has already written a later one.
@in_world
async def test_an_old_spending_record_is_replaced(world):
    world.configure(workspaces=[PlainWorkspace('w', ['k'], 100, 100)])
    home = await world.add_gateway()
    await wait_until(lambda: is_home(home))
    world.store.put(SPENDING_KEY, '{"spent": {"w": [90]}}')
    copy = world.store.copy()
    world.store.put(SPENDING_KEY, '{"spent": {}}')
    world.store.restore(copy)
    with anyio.fail_after(REWRITE_TIMEOUT_SECONDS):
        await wait_until(lambda: not recorded(world))


# Guards against orders of upstreams that are reset by a restore, as by a
# change of the home.
@in_world
async def test_orders_are_kept_across_a_restore(world):
    home = await world.add_gateway()
    await wait_until(lambda: is_home(home))
    duty = CapacityPlanner(home, CloudClient(home, None))
    await duty._step()
    orders = duty._orders_of(SERVICE, home.timers.now())
    before = home.tenure.epoch
    world.store.restore(world.store.copy())
    await wait_until(lambda: home.tenure.epoch > before)
    await duty._step()
    assert duty._orders_of(SERVICE, home.timers.now()) is orders


# Guards against a change of the home after each restore: the new home would
# have less information.
@in_world
async def test_a_home_claims_again_after_a_restore(world):
    home = await world.add_gateway()
    await wait_until(lambda: is_home(home))
    world.store.error_status = 503
    await wait_until(lambda: not is_home(home))
    world.store.restore(world.store.copy())
    with patch.object(
        leadership, 'lookup_period', return_value=VERY_LONG_SECONDS
    ):
        world.store.error_status = 0
        with anyio.fail_after(REWRITE_TIMEOUT_SECONDS):
            await wait_until(lambda: is_home(home))


# Guards against a record that the home wrote for the next timeline just after
# its handover: no node would be the home until that record's lease expires.
@in_world
async def test_a_home_that_hands_over_in_a_restore(world):
    home, other = await two_gateways(world)
    claim_home = leadership.claim_home
    claims = []

    async def hand_over_and_claim(*args):
        claims.append(await claim_home(*args))
        home.tenure.resign()
        return claims[0]

    with patch.object(leadership, 'claim_home', hand_over_and_claim):
        world.store.restore(world.store.copy())
        await wait_until(lambda: bool(claims))
    with anyio.fail_after(LEASE_VALID_SECONDS):
        await wait_until(lambda: is_home(home) or is_home(other))
