"""Measure the decisions of a gateway and the home's answer, without I/O."""

import time
from itertools import count

from spanfall_core.gateway.contention.admission import (
    Contention,
    Hold,
    decide,
    give_turn,
)
from spanfall_core.gateway.contention.room import ServiceRoom
from spanfall_core.gateway.contention.waiting import AdmissionTerms, Asker
from spanfall_core.gateway.known.fleet import EntryReport, FleetState
from spanfall_core.gateway.known.limits import Limit
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.loads import Loads
from spanfall_core.gateway.known.prefixes import PromptPart
from spanfall_core.gateway.known.unit_reports import EntrySpending
from spanfall_core.gateway.known.upstream_speeds import UpstreamSpeeds
from spanfall_core.gateway.limits.quota_allocator import QuotaAllocator
from spanfall_core.gateway.routing.balance import choose
from spanfall_core.gateway.routing.copies import record_heat
from spanfall_core.gateway.routing.estimates import RoutingRequest
from spanfall_core.gateway.routing.grants import (
    EntryLoad,
    FleetLoads,
    Grant,
    GrantBook,
)
from spanfall_core.gateway.routing.prompt_history import PromptHistory
from spanfall_core.gateway.routing.uneven_loads import UnevenLoads
from spanfall_node.gateway.links.messages import (
    GrantMessage,
    GrantRequest,
    GrantRequestMessage,
    ReportMessage,
    TableMessage,
    decode_from_entry,
    encode,
)

Points = list[tuple[float, float]]

NODE_SIZES = (10, 40, 160, 570)
UPSTREAM_SIZES = (10, 40, 160, 640)
HELD_SIZES = (10, 100, 1000, 4000)
#: Upstreams of the service in which requests are held.
UPSTREAMS = 1000
SLOTS = 32
REPEATS = 50
CONTENTION_REPEATS = 2000
#: Requests that each entry has in flight, and workspaces that it served.
IN_FLIGHT = 20
WORKSPACES = 16
MICROSECONDS = 1e6
PARTS = tuple(PromptPart(f'p-{number}', 2000) for number in range(3))


def make_report(number: int, upstreams: int) -> EntryReport:
    """Return the report of one entry of a busy fleet."""
    running = {
        f'i-{(number * 7 + place) % upstreams:010d}': 1
        for place in range(min(IN_FLIGHT, upstreams))
    }
    counts = {f'workspace-{place}': 100 for place in range(WORKSPACES)}
    return EntryReport(
        node=f'edge-{number}',
        incarnation='0123456789ab',
        running=running,
        prefill=dict.fromkeys(running, 2000),
        spending=EntrySpending({name: 1e6 for name in counts}),
        usage={window: counts for window in range(7)},
    )


def time_answer(nodes: int) -> float:
    """Return the processor microseconds of the home for one report."""
    fleet = FleetState()
    sent = [
        encode(ReportMessage(make_report(number, nodes)))
        for number in range(nodes)
    ]
    clock = count(0, 0.25 / nodes)
    for received in sent:
        fleet.apply_report(decode_from_entry(received).report, next(clock))
    began = time.process_time()
    for received in sent:
        now = next(clock)
        report = decode_from_entry(received).report
        fleet.apply_report(report, now)
        totals = fleet.totals_except(report.key, now)
        encode(TableMessage(1, 1, 0.1, 0.1, now, totals))
    return (time.process_time() - began) / nodes * MICROSECONDS


def time_quota(nodes: int) -> float:
    """Return the processor microseconds of the home's quotas for one report."""
    limits = {
        f'workspace-{place}': Limit(100_000, 100_000, 8)
        for place in range(WORKSPACES)
    }
    shared = QuotaAllocator()
    spent = dict.fromkeys(limits, 0.0)
    for number in range(nodes):
        shared.apply_report(f'n-{number}/0', EntrySpending(spent), limits, 0)
    clock = count(0, 0.25 / nodes)
    began = time.process_time()
    for again in range(nodes):
        now = next(clock)
        spending = EntrySpending(dict.fromkeys(limits, 10.0 + again))
        shared.apply_report(f'n-{again}/0', spending, limits, now)
        shared.allocate(f'n-{again}/0', limits, now)
    return (time.process_time() - began) / nodes * MICROSECONDS


def make_rows(upstreams: int) -> list[ListedUpstream]:
    """Return so many upstreams of one service."""
    return [
        ListedUpstream(f'i-{number}', 'llm', '', 'north', slots=32)
        for number in range(upstreams)
    ]


def time_choice(upstreams: int) -> float:
    """Return the processor microseconds of choosing an upstream."""
    rows = make_rows(upstreams)
    loads, prompts = Loads(), PromptHistory()
    began = time.process_time()
    for number in range(REPEATS):
        ask = RoutingRequest(f'a-{number}', 'north', PARTS, 6000)
        choose(rows, ask, loads, prompts, 0)
    return (time.process_time() - began) / REPEATS * MICROSECONDS


def time_copies(upstreams: int) -> float:
    """Return the same where speeds count and half of them hold the parts."""
    rows = make_rows(upstreams)
    speeds, prompts = UpstreamSpeeds(), PromptHistory()
    loads = UnevenLoads(Loads(), speeds)
    heat = prompts.track_heat('llm', is_on=True)
    for row in rows[::2]:
        speeds.record_slowdown('llm', row.lifetime, 1.5, 0)
        prompts.prefixes.record(row.lifetime, PARTS[:-1])
    began = time.process_time()
    for number in range(REPEATS):
        ask = RoutingRequest(f'a-{number}', 'north', PARTS, 6000)
        choose(rows, ask, loads, prompts, 0)
        record_heat(heat, ask, SLOTS, 0.1, 1e5, 0)
    return (time.process_time() - began) / REPEATS * MICROSECONDS


def time_grant(upstreams: int) -> float:
    """Return the processor microseconds of the home for one grant."""
    rows = make_rows(upstreams)
    request = GrantRequest('llm', RoutingRequest('a', 'north', PARTS, 6000))
    load = EntryLoad({'i-0': 1, 'i-1': 1}, {'i-0': 6000}, seen=0)
    received = encode(GrantRequestMessage('edge-1/0123', 1, request, load))
    book, prompts = GrantBook(), PromptHistory()
    loads = FleetLoads(book, Loads())
    began = time.process_time()
    for number in range(1, REPEATS + 1):
        asked = decode_from_entry(received)
        book.apply_report(asked.entry, asked.load, 0)
        choice = choose(rows, asked.request.ask, loads, prompts, 0)
        grant = Grant(number, choice.upstream.upstream_id, choice.prefill)
        book.grant(asked.entry, grant)
        encode(GrantMessage(number, grant))
    return (time.process_time() - began) / REPEATS * MICROSECONDS


def make_terms(number: int, workspaces: int) -> AdmissionTerms:
    """Return the terms of one of many equal requests."""
    name = f'workspace-{number % workspaces}'
    return AdmissionTerms(name, 1, 55, 2000, 10, 30)


def time_contention(held: int, workspaces: int = WORKSPACES) -> float:
    """Return the processor microseconds of one request that has to wait.

    These are its decision and its turn, which is taken.
    """
    contention = Contention()
    places = UPSTREAMS * SLOTS
    full, one_free = (
        ServiceRoom(UPSTREAMS, places, places - free, 1e8, 0.1, free)
        for free in (0, 1)
    )
    asks = [
        (Asker(f'edge-{number % 100}', f'request-{number}'), terms)
        for number in range(held + CONTENTION_REPEATS)
        for terms in (make_terms(number, workspaces),)
    ]
    for first, terms in asks[:held]:
        decide(first, terms, full, contention, 0)
    began = time.process_time()
    for number, (asker, terms) in enumerate(asks[held:]):
        now = number * 1e-5
        decision = decide(asker, terms, full, contention, now)
        turn = give_turn(one_free, contention.queue, now)
        contention.queue.take(turn.asker, turn.ticket, now)
    seconds = time.process_time() - began
    if not isinstance(decision, Hold) or len(contention.queue) != held:
        raise ValueError('The queue was to keep its length')
    return seconds / CONTENTION_REPEATS * MICROSECONDS


def report_bytes(upstreams: int) -> float:
    """Return the bytes of a report with requests at so many upstreams."""
    running = {f'i-{number:010d}': 1 for number in range(upstreams)}
    report = EntryReport(
        'edge-1',
        '0123456789ab',
        running=running,
        prefill=dict.fromkeys(running, 2000),
    )
    return len(encode(ReportMessage(report)))


SLOPES = {
    'gateway-answer': (
        ('entries', 'us of the home a report'),
        lambda: [(size, time_answer(size)) for size in NODE_SIZES],
    ),
    'gateway-quota': (
        ('entries', 'us of the home a report'),
        lambda: [(size, time_quota(size)) for size in NODE_SIZES],
    ),
    'gateway-choice': (
        ('upstreams of a service', 'us a request'),
        lambda: [(size, time_choice(size)) for size in UPSTREAM_SIZES],
    ),
    'gateway-copies': (
        ('upstreams of a service', 'us a request'),
        lambda: [(size, time_copies(size)) for size in UPSTREAM_SIZES],
    ),
    'gateway-grant': (
        ('upstreams of a service', 'us of the home a request'),
        lambda: [(size, time_grant(size)) for size in UPSTREAM_SIZES],
    ),
    'gateway-contention': (
        ('requests held', 'us of the home a request'),
        lambda: [(size, time_contention(size)) for size in HELD_SIZES],
    ),
    'gateway-report': (
        ('upstreams in use', 'bytes a report'),
        lambda: [(size, report_bytes(size)) for size in UPSTREAM_SIZES],
    ),
}
