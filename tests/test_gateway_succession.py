"""A home that is cut off is followed before its lease has ended.

The record of a home lasts for seconds after its last renewal. Meanwhile
nobody may give units of limits, and entries hold a two hundredth of them.
"""

import select
import socket
from contextlib import asynccontextmanager

import anyio
from gateway_world import in_world
from spanfall_node.gateway.home.leadership import CUT_SECONDS, Leadership
from spanfall_node.gateway.home.succession import ASK_PERIOD, ASKED, Succession
from spanfall_node.gateway.links.messages import decode_from_home
from spanfall_node.gateway.links.succession_messages import ResignMessage
from spanfall_node.gateway.program import start_gateway
from spanfall_node.gateway.tables.new_state import build_state
from spanfall_node.gateway.tables.tenure import home_key
from spanfall_standins.gateway.dialect import PlainWorkspace
from spanfall_standins.gateway.server import encode_response, start_server
from support import wait_until

#: A lease that outlasts any test.
LONG_LEASE_SECONDS = 120


class Gate:
    """Let calls through to the store, or turn them away."""

    def __init__(self, store):
        self.is_shut = False
        self._store = store

    async def answer(self, seen, stream):
        if self.is_shut:
            await stream.send(encode_response(503, b''))
            return True
        return await self._store.answer(seen, stream)


async def add_gated(world, gate, **settings):
    """Start a gateway whose way to the store can be shut."""
    usual = world.store_address
    world.store_address = await start_server(world.tasks, gate.answer)
    state = await world.add_gateway(**settings)
    world.store_address = usual
    return state


@asynccontextmanager
async def ending_gateway(world, **bounds):
    """Start a gateway whose process can be ended without a word."""
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
    gate = Gate(world.store)
    settings = {'least_lease_seconds': LONG_LEASE_SECONDS}
    home = await add_gated(world, gate, **settings)
    await wait_until(lambda: is_home(home))
    other = await world.add_gateway(**settings)
    await wait_until(lambda: other.home_heard_at > 0)
    lease = home.tenure.lease
    gate.is_shut = True
    await wait_until(lambda: is_home(other))
    assert lease in world.store.leases
    await wait_until(lambda: home.tenure is None)
    assert home.home.incarnation == other.incarnation


@in_world
async def test_entries_without_the_store_follow(world):
    """They hear from the home before which node is the next."""
    gate = Gate(world.store)
    home = await add_gated(world, gate)
    await wait_until(lambda: is_home(home))
    entry = await add_gated(world, gate)
    other = await world.add_gateway()
    await wait_until(lambda: other.home_heard_at > 0)
    await wait_until(lambda: entry.home_heard_at > 0)
    gate.is_shut = True
    await wait_until(lambda: is_home(other))
    epoch = other.tenure.epoch
    await wait_until(lambda: entry.home and entry.home.epoch == epoch)
    now = entry.timers.now
    await wait_until(lambda: entry.freshness.may_serve_keys(now()))


@in_world
async def test_nobody_takes_over_without_the_store(world):
    """While it is away for all, the home stays what it is."""
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
async def test_a_restarted_fleet_has_its_limits_at_once(world):
    """All processes ended; the record of the home is still there.

    Another node that took it found nothing listening at its address, and gave
    no units for two seconds: a hundred requests were refused.
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
    """Units are given once its holder, if there is one, acts no more."""
    world.store.put(home_key(0), 'no record')
    state = await world.add_unready_gateway()
    await wait_until(lambda: is_home(state))
    tenure = state.tenure
    assert not tenure.may_give(tenure.began_at)
    await wait_until(lambda: tenure.may_give(state.timers.now()))


class SlowStore:
    """Answer a renewal after the home has handed over."""

    def __init__(self, home):
        self._home = home

    async def renew(self, timeline, lease, seconds):
        tenure = self._home.tenure
        tenure.is_cut = True
        assert Succession(self._home).hand_over(tenure.epoch) is not None


class Entry:
    """Keep what a home sends to one entry."""

    def __init__(self):
        self.got = []

    async def send(self, encoded):
        self.got.append(decode_from_home(encoded))


@in_world
async def test_the_strongest_hosts_are_asked_first(world):
    """A home on a small host was late for seconds at 195 entries."""
    home = await world.add_gateway()
    await wait_until(lambda: is_home(home))
    home.tenure.is_cut = True
    entries = [Entry() for _ in range(3 * ASKED)]
    succession = Succession(home)
    for cores, entry in enumerate(entries):
        succession.add(entry)
        succession.note(entry, cores)
    await succession._tell(home.tenure)
    asked = [at for at, row in enumerate(entries) if row.got]
    assert asked == list(range(2 * ASKED, 3 * ASKED))


@in_world
async def test_others_are_told_if_the_first_do_not_act(world):
    """The first to be told may be cut off itself, or lose its answers."""
    home = await world.add_gateway()
    await wait_until(lambda: is_home(home))
    home.tenure.is_cut = True
    epoch = home.tenure.epoch
    entries = [Entry() for _ in range(2 * ASKED)]
    succession = Succession(home)
    for entry in entries:
        succession.add(entry)
    assert succession.hand_over(epoch) == ResignMessage(epoch)
    assert succession.hand_over(epoch) is None
    for _ in range(3):
        await anyio.sleep(ASK_PERIOD)
        await succession._tell(home.tenure)
    told = ResignMessage(epoch)
    assert all(entry.got and entry.got[0] == told for entry in entries)


@in_world
async def test_one_lost_renewal_hands_nothing_over(world):
    gate = Gate(world.store)
    home = await add_gated(world, gate)
    await wait_until(lambda: is_home(home))
    renewed_at = home.tenure.renewed_at
    gate.is_shut = True
    await anyio.sleep(CUT_SECONDS / 2)
    gate.is_shut = False
    await wait_until(lambda: home.tenure.renewed_at > renewed_at)
    assert not home.tenure.is_cut


@in_world
async def test_hundreds_may_link_at_one_moment(world):
    """The home is busy while the entries of a large fleet find it."""
    home = await world.add_gateway()
    host, _, port = home.cfg.listen.links.rpartition(':')
    links = []
    for _ in range(300):
        link = socket.socket()
        link.setblocking(False)  # noqa: FBT003
        link.connect_ex((host, int(port)))
        links.append(link)
    # Nothing was accepted yet: this task has not let the home run.
    _, connected, _ = select.select([], links, [], 0.5)
    for link in links:
        link.close()
    assert len(connected) == len(links)


@in_world
async def test_a_renewal_under_way_brings_nothing_back(world):
    """The home handed over while it waited: two would give units."""
    home = await world.add_gateway()
    await wait_until(lambda: is_home(home))
    tenure = home.tenure
    await Leadership(home, SlowStore(home), None)._renew(tenure)
    assert not is_home(home)


@in_world
async def test_the_end_of_a_link_is_no_failure(world):
    """An entry that took it for one went on with a home that was no more."""
    home = await world.add_gateway()
    await wait_until(lambda: is_home(home))
    entry = await world.add_gateway()
    await wait_until(lambda: entry.home_heard_at > 0)
    home.note_home(None)
    home.tenure = None
    await wait_until(lambda: entry.home is None)
