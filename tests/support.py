"""Share small helpers between tests."""

from collections.abc import Awaitable, Callable

import anyio
import httpx
from spanfall_api.settings import Times
from spanfall_standins.application import WorkerSpeed
from spanfall_standins.deployments import token_of
from spanfall_standins.engine import EngineSpeed
from spanfall_standins.fleet import Fleet, FleetOptions

#: Bound on any wait of a test; reaching it is a failure, not a measurement.
WAIT_SECONDS = 30

QUICK_ENGINE = EngineSpeed(step_seconds=0.002, step_per_stream=0)
QUICK_WORKER = WorkerSpeed(call_seconds=0.01)


def quick_options(*mechanisms_off: str, **times: float) -> FleetOptions:
    """Return options of a fleet with fast stand-ins and short periods."""
    periods = {'heartbeat': 0.2, 'member_timeout': 1.0, 'drain': 3.0}
    return FleetOptions(
        engine=QUICK_ENGINE,
        worker=QUICK_WORKER,
        times=Times(**{**periods, **times}),
        mechanisms_off=mechanisms_off,
    )


def run_async(main: Callable[[], Awaitable[None]]) -> None:
    """Run an asynchronous test with a bound on its time."""

    async def bounded() -> None:
        with anyio.fail_after(WAIT_SECONDS):
            await main()

    anyio.run(bounded)


def new_client(workspace: str) -> httpx.AsyncClient:
    """Return a client with the token of a workspace."""
    return httpx.AsyncClient(
        timeout=WAIT_SECONDS,
        trust_env=False,
        headers={'Authorization': f'Bearer {token_of(workspace)}'},
    )


async def wait_until(holds: Callable[[], bool]) -> None:
    """Wait until a condition holds, within the bound of the test."""
    while not holds():
        await anyio.sleep(0.01)


def runs_of(fleet: Fleet, request_id: str) -> list[object]:
    """Return the runs of a request that the stand-ins recorded."""
    return [
        record
        for worker in fleet.workers.values()
        for record in worker.records
        if record.request_id == request_id
    ]
