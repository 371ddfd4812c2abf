"""Stop a request that crashes upstreams when crashes are detected late.

Only a refused connection counted as a crash. Where a supervisor holds the port
of a crashed upstream, the address still accepts connections and closes them:
a request that was retried every 0.3 s crashed 28 of 28 upstreams. Suspected
crashes now hold it back after three.
"""

import anyio
import pytest
from gateway_world import ask, in_world
from spanfall_core.gateway.crashes.standings import Standing
from spanfall_core.gateway.known.identity import request_identity
from spanfall_standins.gateway.server import AfterExit
from spanfall_standins.gateway.upstream import complete_response, crashes_on
from support import wait_until

DEADLY = b'deadly'
QUARANTINED_AFTER = 3
#: Seconds between two attempts of the caller.
PAUSE = 0.1
ATTEMPTS = 10
#: Seconds after which a caller abandons an attempt without an answer.
CALLER_TIMEOUT = 1.5


def ended(world):
    """Return the upstreams whose processes have ended."""
    return [
        row
        for row in world.upstreams.values()
        if row.process_scope.cancel_called
    ]


def standing(state, path):
    """Return the standing of the request at a node."""
    identity = request_identity('', 'depot.example', 'POST', path, DEADLY)
    return state.crashes.standing((identity,), state.timers.now())


async def send_again_and_again(gateways, path, attempts=ATTEMPTS):
    """Send the request to each entry in turn; abandon attempts that hang."""
    answers = []
    for number in range(attempts):
        state = gateways[number % len(gateways)]
        with anyio.move_on_after(CALLER_TIMEOUT):
            answer = await ask(state, path, attempt=f'd{number}', body=DEADLY)
            answers.append(answer)
        await anyio.sleep(PAUSE)
    return answers


@pytest.mark.parametrize('path', ('/resume/1', '/any/1', '/once/1'))
@pytest.mark.parametrize('after_end', (AfterExit.CLOSES, AfterExit.SILENT))
def test_late_signs_crash_at_most_three_upstreams(path, after_end):
    @in_world
    async def play(world):
        for _ in range(9):
            await world.add_upstream(
                crashes_on(DEADLY, complete_response()), after_end
            )
        gateways = [await world.add_gateway() for _ in range(2)]
        await send_again_and_again(gateways, path)
        assert len(ended(world)) == QUARANTINED_AFTER
        assert all(
            standing(state, path) is not Standing.QUARANTINED
            for state in gateways
        )
        for upstream in ended(world):
            world.remove_entry(upstream)
        await wait_until(
            lambda: all(
                standing(state, path) is Standing.QUARANTINED
                for state in gateways
            )
        )
        later = await world.add_gateway()
        answers = await send_again_and_again([later], path, 2)
        assert {answer.status for answer in answers} == {502}
        assert len(ended(world)) == QUARANTINED_AFTER
        other = await ask(later, path, attempt='o', body=b'other')
        assert other.status == 200

    play()
