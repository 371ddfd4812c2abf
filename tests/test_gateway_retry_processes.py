"""Count from outside what a fleet of processes retries while nodes end."""

from contextlib import ExitStack
from itertools import count

import anyio
from gateway_world import dial, in_world, read_answer, request_bytes
from retry_checker import Seen, worst_use
from spanfall_api.gateway_settings import HOME_LEASE_SECONDS, Bounds
from spanfall_core.gateway.routing.allowance_share import AllowanceShare
from spanfall_core.gateway.routing.retry_budget import RetryLimits
from spanfall_node.gateway.net.sockets import TCP_USER_TIMEOUT_SECONDS
from spanfall_standins.gateway.upstream import refused
from test_gateway_contention_suspended import process_of, wait_ready

LIMITS = RetryLimits(ratio=0.2, allowance=24, window=4)
BOUNDS = Bounds(
    retry_ratio=LIMITS.ratio,
    retry_allowance=LIMITS.allowance,
    retry_window_seconds=LIMITS.window,
)
GATEWAYS = 4
RATE = 20
PATIENCE = 3
#: Seconds after which processes hold their shares of the allowance.
SETTLED_SECONDS = (
    AllowanceShare(
        LIMITS.window + TCP_USER_TIMEOUT_SECONDS, HOME_LEASE_SECONDS
    ).memory
    + 1
)


def counting(seen):
    """Refuse each request, and record its arrival."""
    refusing = refused(429)

    async def run(upstream, request, stream):
        seen.arrive(request.headers['attempt'], anyio.current_time())
        return await refusing(upstream, request, stream)

    return run


async def send(address, number):
    """Send one request, whatever becomes of it."""
    with anyio.move_on_after(PATIENCE):
        try:
            stream = await dial(address)
        except OSError:
            return
        async with stream:
            await stream.send(request_bytes('/any/1', attempt=f'a{number}'))
            await read_answer(stream)


async def send_often(seen, addresses, seconds):
    """Send requests to all gateways in turn at a rate."""
    numbers = count()
    until = anyio.current_time() + seconds
    async with anyio.create_task_group() as tasks:
        while anyio.current_time() < until:
            number = next(numbers)
            address = addresses[number % len(addresses)]
            seen.sent_at.append(anyio.current_time())
            tasks.start_soon(send, address, number)
            await anyio.sleep(1 / RATE)


# Guards against retries beyond the fleet's budget after processes ended.
def test_restarts_give_no_retries_twice(tmp_path):
    """All upstreams reject while all processes are killed, twice."""

    @in_world
    async def play(world):
        seen = Seen()
        for _ in range(GATEWAYS):
            await world.add_upstream(counting(seen))
        rows = [
            await world.new_settings(bounds=BOUNDS, assumed_entries=GATEWAYS)
            for _ in range(GATEWAYS)
        ]
        with ExitStack() as stack:
            processes = await start_all(stack, tmp_path, rows)
            await anyio.sleep(SETTLED_SECONDS)
            addresses = [cfg.listen.callers for cfg in rows]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_often, seen, addresses, 7)
                await anyio.sleep(1)
                for _ in range(2):
                    await end_all(processes)
                    processes = await start_all(stack, tmp_path, rows)
                    await anyio.sleep(0.7)
        assert len(seen.repeated_at) > GATEWAYS
        assert worst_use(seen, LIMITS) <= 1

    play()


async def start_all(stack, tmp_path, rows):
    """Start the processes of all gateways and wait until they are ready."""
    processes = []
    for cfg in rows:
        folder = tmp_path / cfg.node
        folder.mkdir(exist_ok=True)
        processes.append(stack.enter_context(process_of(cfg, folder)))
    for cfg in rows:
        await wait_ready(cfg)
    return processes


async def end_all(processes):
    """Kill processes and wait until they have ended."""
    for process in processes:
        process.kill()
        await anyio.to_thread.run_sync(process.wait)
