"""Quarantine a part of prompts that crashes upstreams in any request."""

import os
from random import Random

import anyio
import pytest
from crashing_parts import (
    BACK_SECONDS,
    Fleet,
    judge,
    play_course,
)
from gateway_world import in_world
from spanfall_standins.gateway.server import AfterExit

#: Drawn courses; more of them by hand.
SEEDS = int(os.environ.get('SPANFALL_SEEDS', '2'))


def in_fleet(tmp_path, gateways=3, upstreams=8, seed=1, **fields):
    """Run a test with gateways as processes before upstreams."""

    def wrap(test):
        @in_world
        async def play(world):
            fleet = Fleet(world, Random(seed), tmp_path, **fields)
            with fleet.stack:
                await fleet.start(gateways, upstreams)
                await test(fleet)

        play()

    return wrap


# Guards against a cause that is looked for by the whole request only: each
# request with the part began anew and crashed two or three upstreams more.
def test_one_part_crashes_few_upstreams(tmp_path):
    @in_fleet(tmp_path)
    async def play(fleet):
        began_at = await play_course(fleet)
        assert not judge(fleet, began_at)
        assert len(fleet.crashed_at) <= 6


# Guards against both bounds in drawn courses: upstreams whose address closes what
# it accepts, two parts in turn, the store away, the home and entries killed.
@pytest.mark.parametrize('seed', range(3, 3 + SEEDS))
def test_drawn_courses_keep_both_bounds(tmp_path, seed):
    rng = Random(seed)
    after_end = rng.choice(((AfterExit.REFUSES,), tuple(AfterExit)[:2]))

    @in_fleet(tmp_path, seed=seed, after_end=after_end)
    async def play(fleet):
        async def kill_home():
            await anyio.sleep(fleet.rng.uniform(0, 5))
            await fleet.kill(fleet.home() or fleet.settings[0], BACK_SECONDS)

        async def kill_entry():
            await anyio.sleep(fleet.rng.uniform(0, 5))
            await fleet.kill(fleet.rng.choice(fleet.settings), BACK_SECONDS)

        async def lose_store():
            await anyio.sleep(fleet.rng.uniform(0, 3))
            fleet.world.store.error_status = 503
            await anyio.sleep(BACK_SECONDS)
            fleet.world.store.error_status = 0

        faults = (kill_home, kill_entry, lose_store)
        chosen = fleet.rng.sample(faults, fleet.rng.randrange(3))
        rate = fleet.rng.choice((1, 5, 10))
        began_at = await play_course(fleet, chosen, seconds=12, rate=rate)
        assert not judge(fleet, began_at)


# Guards against the loss of half the evidence with the home or an entry.
@pytest.mark.parametrize('seed', (1, 2))
def test_one_part_while_home_and_entry_end(tmp_path, seed):
    @in_fleet(tmp_path, seed=seed)
    async def play(fleet):
        async def kill_home():
            await anyio.sleep(fleet.rng.uniform(0.1, 0.8))
            await fleet.kill(fleet.home() or fleet.settings[0], BACK_SECONDS)

        async def kill_entry():
            await anyio.sleep(fleet.rng.uniform(0.1, 4))
            others = [cfg for cfg in fleet.settings if cfg is not fleet.home()]
            await fleet.kill(fleet.rng.choice(others), BACK_SECONDS)

        began_at = await play_course(fleet, (kill_home, kill_entry), seconds=12)
        assert not judge(fleet, began_at)
