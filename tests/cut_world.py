"""Run entries whose paths to upstreams are cut, within one test."""

from gateway_world import ask, in_world
from spanfall_standins.gateway.network import Network
from support import wait_until

#: Retries in a window; these tests do not test their bound.
RETRIES = 500


def in_cut_world(entries, cut, *behaviours):
    """Run a test with upstreams and entries, the first ``cut`` of them cut."""

    def wrap(test):
        @in_world
        async def run(world):
            for behaviour in behaviours:
                await world.add_upstream(behaviour)
            networks = [Network() for _ in range(entries)]
            states = [
                await world.add_gateway(one, retry_allowance=RETRIES)
                for one in networks
            ]
            await wait_until(
                lambda: all(
                    len(row.reach.peers) == entries - 1 for row in states
                )
            )
            await test(world, states, networks[:cut])

        return run

    return wrap


async def ask_often(state, path, count=8):
    """Return the statuses of requests asked one after the other."""
    return [
        (await ask(state, f'{path}{number}', attempt=f'a{number}')).status
        for number in range(count)
    ]
