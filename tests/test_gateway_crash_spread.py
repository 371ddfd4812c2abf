"""Spread quarantines to all entries, and keep them when nodes are lost."""

from unittest.mock import patch

import anyio
from crash_evidence import ended, suspected
from gateway_world import ask, in_world
from spanfall_core.gateway.crashes.crashes import QUARANTINE_SECONDS
from spanfall_core.gateway.crashes.standings import Standing
from spanfall_core.gateway.crashes.traits import Trait
from spanfall_core.gateway.known.identity import request_identity
from spanfall_node.gateway.links.crash_messages import (
    Quarantines,
    RunStage,
    WatchedRun,
)
from spanfall_node.gateway.store.crash_record import CRASHES_KEY
from spanfall_node.gateway.tables.crash_knowledge import CrashState
from spanfall_standins.gateway.upstream import (
    complete_response,
    crashes_on,
    in_turn,
    raw,
)
from support import wait_until

ENTRY_LINK = 'spanfall_node.gateway.home.entry_link'
DEADLY = b'deadly'
PATH = '/any/1'
IDENTITY = request_identity('', 'depot.example', 'POST', PATH, DEADLY)
BROKEN = b'HTTP/1.1 200 OK\r\nattempt: {id}\r\nsigned: s\r\ncontent-length: 9'


async def quarantine(world, state):
    """Let the request crash three upstreams."""
    for _ in range(4):
        await world.add_upstream(crashes_on(DEADLY, complete_response()))
    await wait_until(lambda: len(state.directory.rows) == 4)
    for number in range(4):
        await ask(state, PATH, attempt=f'c{number}', body=DEADLY)
    assert is_known(state)


def is_known(state):
    """Return whether a node has the request in quarantine."""
    return (
        state.crashes.standing((IDENTITY,), state.timers.now())
        is Standing.QUARANTINED
    )


@in_world
async def test_all_entries_receive_a_quarantine_at_once(world):
    gateways = [await world.add_gateway() for _ in range(3)]
    await quarantine(world, gateways[0])
    with anyio.fail_after(0.2):
        await wait_until(lambda: all(map(is_known, gateways)))


@in_world
async def test_quarantine_survives_restart_of_all_nodes(world):
    before = await world.add_gateway()
    await quarantine(world, before)
    await wait_until(lambda: CRASHES_KEY in world.store.items)
    before.tenure.resign()
    after = await world.add_unready_gateway()
    await wait_until(lambda: is_known(after))


@in_world
async def test_entry_without_home_reads_quarantines(world):
    home = await world.add_gateway()
    with patch(f'{ENTRY_LINK}.open_link', side_effect=OSError('cut')):
        alone = await world.add_gateway()
        await quarantine(world, home)
        await wait_until(lambda: is_known(alone))


@in_world
async def test_invalid_answer_is_no_crash(world):
    await world.add_upstream(in_turn(raw(BROKEN), complete_response()))
    state = await world.add_gateway()
    await ask(state, PATH, body=DEADLY)
    assert (
        state.crashes.standing((IDENTITY,), state.timers.now()) is Standing.FREE
    )
    answer = await ask(state, PATH, attempt='a2', body=DEADLY)
    assert answer.status == 200


def test_new_home_combines_reported_crashes():
    home = CrashState()
    for number in range(3):
        entry = CrashState()
        entry.record(ended(IDENTITY, f'u-{number}'), 0)
        home.apply_report(entry.report(0), 0)
    assert home.standing((IDENTITY,), 0) is Standing.QUARANTINED


def test_new_home_combines_suspected_crashes():
    home = CrashState()
    for number in range(3):
        entry = CrashState()
        entry.record(suspected(IDENTITY, f'u-{number}'), 0)
        home.apply_report(entry.report(0), 0)
    assert home.standing((IDENTITY,), 0) is Standing.HELD
    assert home.has_suspected_crashes.is_set()


def test_confirmed_suspicions_quarantine():
    """A suspected crash that is already confirmed can quarantine a request.

    The home has confirmed all three ends; they are reported as suspected.
    """
    home = CrashState()
    for number in range(3):
        home.record(ended('other', f'u-{number}'), 0)
        home.table.clear_request('other')
    changed = home.changed
    for doubted in range(3):
        home.record(suspected(IDENTITY, f'u-{doubted}'), 0)
    assert home.standing((IDENTITY,), 0) is Standing.QUARANTINED
    assert changed.is_set()


def test_next_trial_begins_after_settle_time():
    home = CrashState()
    assert home.trials.try_begin('s', IDENTITY, 0)
    home.record_run(WatchedRun(IDENTITY, RunStage.BEGAN), 0.1)
    assert not home.trials.try_begin('s', 'other', 0.2)
    assert home.trials.try_begin('s', 'other', 0.4)


def test_forwarded_quarantine_expires_in_time():
    first, second = CrashState(), CrashState()
    for number in range(3):
        first.record(ended(IDENTITY, f'u-{number}'), 0)
    half = QUARANTINE_SECONDS / 2
    second.apply_report(first.report(half), half)
    assert second.standing((IDENTITY,), half) is Standing.QUARANTINED
    assert second.standing((IDENTITY,), QUARANTINE_SECONDS) is Standing.FREE
    assert not second.quarantines(QUARANTINE_SECONDS).quarantined


# Guards against a part that is refused for a day after a change of the home,
# as the seconds for which it was quarantined are lost.
def test_short_quarantine_stays_short_elsewhere():
    part = Trait('part/5c1e')
    other = CrashState(is_judge=lambda: True)
    other.merge_quarantines(Quarantines({part: 60.0}), 0)
    trial = ended('r', 'u-9', part, is_trial=True)
    assert other.standing((part,), 60) is Standing.SUSPECT
    other.record(trial, 60)
    assert other.standing((part,), 61) is Standing.QUARANTINED
    assert other.standing((part,), 60 + 120) is Standing.SUSPECT
