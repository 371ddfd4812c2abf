"""Test that a home cut off from the store hands over before its lease expires.

The record of a home stays valid for seconds after its last renewal. Until then
no other node may allocate units of limits, and the entries hold only a two
hundredth of them.
"""

import select
import socket
from contextlib import asynccontextmanager

import anyio
from gateway_world import in_world
from spanfall_node.gateway.home.leadership import CUT_OFF_SECONDS, Leadership
from spanfall_node.gateway.home.succession import (
    ROUND_PERIOD,
    ROUND_SIZE,
    Succession,
)
from spanfall_node.gateway.links.messages import decode_from_home
from spanfall_node.gateway.links.succession_messages import ResignMessage
from spanfall_node.gateway.program import start_gateway
from spanfall_node.gateway.tables.new_state import build_state
from spanfall_node.gateway.tables.tenure import home_key
from spanfall_standins.gateway.dialect import PlainWorkspace
from spanfall_standins.gateway.server import encode_response, start_server
from support import wait_until

#: Seconds of a lease that outlasts any test.
LONG_LEASE_SECONDS = 120


class StoreGate:
    """Forward calls to the store, or answer them with 503."""

    def __init__(self, store):
        self.is_closed = False
        self._store = store

    async def answer(self, seen, stream):
        if self.is_closed:
            await stream.send(encode_response(503, b''))
            return True
        return await self._store.answer(seen, stream)


async def add_gated_gateway(world, store_gate, **settings):
    """Start a gateway whose connection to the store can be closed."""
    usual = world.store_address
    world.store_address = await start_server(world.tasks, store_gate.answer)
    state = await world.add_gateway(**settings)
    world.store_address = usual
    return state


@asynccontextmanager
async def ending_gateway(world, **bounds):
    """Start a gateway that can be stopped abruptly, as by a crash."""
    usual = world.tasks
    async with anyio.create_task_group() as tasks:
        world.tasks = tasks
        state = await world.add_gateway(**bounds)
        world.tasks = usual
        yield state, tasks.cancel_scope


def is_home(state):
    return state.is_home(state.timers.now())


@in_world
async def test_a_home_without_the_store_hands_over(world):
    world.store.min_lease_ms = LONG_LEASE_SECONDS * 1000
    store_gate = StoreGate(world.store)
    settings = {'least_lease_seconds': LONG_LEASE_SECONDS}
    home = await add_gated_gateway(world, store_gate, **settings)
    await wait_until(lambda: is_home(home))
    other = await world.add_gateway(**settings)
    await wait_until(lambda: other.home_heard_at > 0)
    lease = home.tenure.lease
    store_gate.is_closed = True
    await wait_until(lambda: is_home(other))
    assert lease in world.store.leases
    await wait_until(lambda: home.tenure is None)
    assert home.home.incarnation == other.incarnation


@in_world
async def test_entries_cut_off_from_the_store_follow(world):
    """Entries cut off from the store learn the new home from the old one."""
    store_gate = StoreGate(world.store)
    home = await add_gated_gateway(world, store_gate)
    await wait_until(lambda: is_home(home))
    entry = await add_gated_gateway(world, store_gate)
    other = await world.add_gateway()
    await wait_until(lambda: other.home_heard_at > 0)
    await wait_until(lambda: entry.home_heard_at > 0)
    store_gate.is_closed = True
    await wait_until(lambda: is_home(other))
    epoch = other.tenure.epoch
    await wait_until(lambda: entry.home and entry.home.epoch == epoch)
    now = entry.timers.now
    await wait_until(lambda: entry.freshness.may_serve_keys(now()))


@in_world
async def test_a_store_outage_does_not_end_the_tenure(world):
    """If no node reaches the store, the home does not resign."""
    home = await world.add_gateway()
    await wait_until(lambda: is_home(home))
    other = await world.add_gateway()
    await wait_until(lambda: other.home_heard_at > 0)
    calls = other.counters.registry.get_sample_value
    world.store.error_status = 503
    await wait_until(lambda: home.tenure.is_cut)
    await wait_until(
        lambda: calls('spanfall_store_calls_total', {'outcome': '503'}),
    )
    assert home.tenure is not None
    assert not home.tenure.resigned


@in_world
async def test_a_restarted_fleet_allocates_at_once(world):
    """Guard against refusals after all processes were restarted.

    The record of the old home is still in the store. A node that followed it
    found nothing listening at its address, and no units were allocated for two
    seconds: a hundred requests were refused.
    """
    world.configure(workspaces=[PlainWorkspace('w', ['k'], 100, 100)])
    cfg = None
    async with ending_gateway(world) as (before, scope):
        await wait_until(lambda: is_home(before))
        cfg = before.cfg
        scope.cancel()
    other = await world.add_unready_gateway()
    await wait_until(lambda: other.home is not None)
    again = build_state(cfg, other.platform, other.timers, 'again')
    start_gateway(again, world.tasks)
    await wait_until(lambda: is_home(again) or is_home(other))
    holder = again if is_home(again) else other
    assert holder.tenure.may_give(holder.timers.now())


@in_world
async def test_a_record_that_cannot_be_read_is_replaced(world):
    """Units are allocated only once a possible holder has stopped acting."""
    world.store.put(home_key(0), 'no record')
    state = await world.add_unready_gateway()
    await wait_until(lambda: is_home(state))
    tenure = state.tenure
    assert not tenure.may_give(tenure.began_at)
    await wait_until(lambda: tenure.may_give(state.timers.now()))


class SlowStore:
    """Answer a renewal only after the home has handed over."""

    def __init__(self, home):
        self._home = home

    async def renew(self, timeline, lease, seconds):
        tenure = self._home.tenure
        tenure.is_cut = True
        assert Succession(self._home).hand_over(tenure.epoch) is not None


class RecordingLink:
    """Record the messages that a home sends to one entry."""

    def __init__(self):
        self.got = []

    async def send(self, encoded):
        self.got.append(decode_from_home(encoded))


@in_world
async def test_the_strongest_hosts_are_contacted_first(world):
    """Guard against a home on a small host, which lags with many entries.

    With 195 entries it was late for seconds.
    """
    home = await world.add_gateway()
    await wait_until(lambda: is_home(home))
    home.tenure.is_cut = True
    entries = [RecordingLink() for _ in range(3 * ROUND_SIZE)]
    succession = Succession(home)
    for cores, entry in enumerate(entries):
        succession.add(entry)
        succession.set_strength(entry, cores)
    await succession._notify(home.tenure)
    contacted = [at for at, row in enumerate(entries) if row.got]
    assert contacted == list(range(2 * ROUND_SIZE, 3 * ROUND_SIZE))


@in_world
async def test_more_entries_are_notified_in_rounds(world):
    """The first entries may be cut off themselves, or lose their answers."""
    home = await world.add_gateway()
    await wait_until(lambda: is_home(home))
    home.tenure.is_cut = True
    epoch = home.tenure.epoch
    entries = [RecordingLink() for _ in range(2 * ROUND_SIZE)]
    succession = Succession(home)
    for entry in entries:
        succession.add(entry)
    assert succession.hand_over(epoch) == ResignMessage(epoch)
    assert succession.hand_over(epoch) is None
    for _ in range(3):
        await anyio.sleep(ROUND_PERIOD)
        await succession._notify(home.tenure)
    expected_message = ResignMessage(epoch)
    assert all(
        entry.got and entry.got[0] == expected_message for entry in entries
    )


@in_world
async def test_one_lost_renewal_keeps_the_home(world):
    store_gate = StoreGate(world.store)
    home = await add_gated_gateway(world, store_gate)
    await wait_until(lambda: is_home(home))
    renewed_at = home.tenure.renewed_at
    store_gate.is_closed = True
    await anyio.sleep(CUT_OFF_SECONDS / 2)
    store_gate.is_closed = False
    await wait_until(lambda: home.tenure.renewed_at > renewed_at)
    assert not home.tenure.is_cut


@in_world
async def test_hundreds_of_links_may_open_at_once(world):
    """The home is busy while all entries of a large fleet connect to it."""
    home = await world.add_gateway()
    host, _, port = home.cfg.listen.links.rpartition(':')
    links = []
    for _ in range(300):
        link = socket.socket()
        link.setblocking(False)  # noqa: FBT003
        link.connect_ex((host, int(port)))
        links.append(link)
    # No link was accepted yet, since this task has not yielded to the home.
    _, connected, _ = select.select([], links, [], 0.5)
    for link in links:
        link.close()
    assert len(connected) == len(links)


@in_world
async def test_a_pending_renewal_keeps_a_handover(world):
    """Guard against two allocating homes.

    The home hands over while its renewal is pending; the renewal's answer must
    not extend its tenure.
    """
    home = await world.add_gateway()
    await wait_until(lambda: is_home(home))
    tenure = home.tenure
    await Leadership(home, SlowStore(home), None)._renew(tenure)
    assert not is_home(home)


@in_world
async def test_an_entry_drops_a_home_that_closed(world):
    """Guard against an entry that follows a home that has stepped down.

    The home closes the link normally, which is not an error of the link.
    """
    home = await world.add_gateway()
    await wait_until(lambda: is_home(home))
    entry = await world.add_gateway()
    await wait_until(lambda: entry.home_heard_at > 0)
    home.note_home(None)
    home.tenure = None
    await wait_until(lambda: entry.home is None)
