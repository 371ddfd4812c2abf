"""Test that messages between nodes are decoded, and invalid ones refused."""

import cbor2
import pytest
from crash_evidence import ended, suspected
from hypothesis import example, given
from hypothesis import strategies as st
from spanfall_core.gateway.contention.waiting import AdmissionTerms
from spanfall_core.gateway.crashes.standings import Standing
from spanfall_core.gateway.known.fleet import EntryReport, FleetTotals
from spanfall_core.gateway.known.identity import request_identity
from spanfall_core.gateway.known.lifetimes import name_lifetime
from spanfall_core.gateway.known.listed import ListedUpstream
from spanfall_core.gateway.known.origins import Origin
from spanfall_core.gateway.known.prefixes import PromptPart
from spanfall_core.gateway.known.statements import KnownStatement
from spanfall_core.gateway.known.stream_origins import OriginGroup
from spanfall_core.gateway.known.unit_reports import AllocatedUnits
from spanfall_core.gateway.known.upstream_speeds import SpeedSample
from spanfall_core.gateway.orders.reclaims import SeenReclaims
from spanfall_core.gateway.routing.estimates import RoutingRequest
from spanfall_core.gateway.routing.grants import EntryLoad, Grant
from spanfall_core.reasons import RefusalReason
from spanfall_node.gateway.links.contention_messages import (
    HeldTicket,
    HeldTurn,
    HoldsEndedMessage,
    Rejection,
    TurnMessage,
    WithdrawMessage,
)
from spanfall_node.gateway.links.crash_messages import (
    CrashReport,
    QuarantineMessage,
    RunStage,
    WatchedRun,
)
from spanfall_node.gateway.links.messages import (
    GrantMessage,
    GrantRequest,
    GrantRequestMessage,
    LoadMessage,
    ReportMessage,
    TableMessage,
    UnitsMessage,
    UnitsRequest,
    UpstreamsPart,
    decode_from_entry,
    decode_from_home,
    encode,
)
from spanfall_node.gateway.links.origin_messages import (
    OriginAnswer,
    OriginQuestion,
    OriginsMessage,
)
from spanfall_node.gateway.links.word_messages import (
    StatementsPart,
    StatementsReport,
)

LIFETIME = name_lifetime('u-1', 1000)
PART = 'part/5c1e'
IDENTITY = request_identity('w', 'h', 'POST', '/', b'x')
ROW = ListedUpstream('u-1', 'llm', '10.0.0.1:80', 'north', 8, born=1000)
LOAD = EntryLoad({LIFETIME: 2}, {LIFETIME: 900}, 7)
ASK = RoutingRequest(
    'r',
    'north',
    (PromptPart('a', 100),),
    100,
    frozenset((LIFETIME,)),
    IDENTITY,
    frozenset((LIFETIME,)),
)
TERMS = AdmissionTerms('w', 2.5, 13, 900.5, 0.5, 2.5, 0.25, 7)
TICKET = HeldTicket('llm', IDENTITY, 7)
WORDS = {LIFETIME: KnownStatement(0.5, 2.5, leaves=True)}
ORIGIN_GROUP = OriginGroup('s', 'v1', 900, b'12345678', is_begun=True)
FROM_ENTRY = [
    OriginsMessage((ORIGIN_GROUP,)),
    OriginQuestion(3, 2**64 - 1, 'r', 1.5, 32.0),
    ReportMessage(EntryReport('n', 'i', {LIFETIME: 2}), 3, 4, 5, seen=6),
    LoadMessage('n/i', LOAD),
    LoadMessage('n/i', LOAD, (SpeedSample(LIFETIME, 1.5, 0.25, 3, 0.5),)),
    GrantRequestMessage('n/i', 3, GrantRequest('llm', ASK), LOAD),
    GrantRequestMessage('n/i', 4, GrantRequest('llm', ASK, TERMS), LOAD),
    WithdrawMessage('n/i', (TICKET,)),
    UnitsRequest('n/i', 3, 'w', 500.0),
    CrashReport(
        {IDENTITY: 9.5, PART: 8},
        {PART: ('part/2',)},
        (ended(IDENTITY, LIFETIME, PART, proven=(PART,), version='v1'),),
        is_first=True,
    ),
    CrashReport(runs=(suspected(IDENTITY, LIFETIME),)),
    WatchedRun(IDENTITY, RunStage.COMPLETE),
    WatchedRun(IDENTITY, RunStage.SOUND, (PART,), 'v1'),
    StatementsReport(WORDS),
]
FROM_HOME = [
    OriginsMessage((ORIGIN_GROUP,)),
    OriginAnswer(3, Origin('s', None), is_settled=True),
    GrantMessage(3, Grant(3, LIFETIME, 100, 50)),
    GrantMessage(4),
    GrantMessage(5, standing=Standing.QUARANTINED),
    GrantMessage(6, Grant(6, LIFETIME, 0, is_permit=True)),
    GrantMessage(7, wait=0.5),
    GrantMessage(8, held=HeldTurn(TICKET, 0.5), is_contended=True),
    GrantMessage(9, rejected=Rejection(2.5, RefusalReason.NO_ROOM)),
    TurnMessage((TICKET,)),
    HoldsEndedMessage(),
    QuarantineMessage({IDENTITY: 9.5}, {}, (PART,), ('part/2',)),
    UnitsMessage(3, 'w', 500.0),
    TableMessage(
        epoch=3,
        configuration_version=5,
        proof_age=0.5,
        upstreams_age=0.25,
        true_time=1.5,
        totals=FleetTotals({LIFETIME: 2}),
        reclaims={'llm': SeenReclaims(60, {'south': 5})},
        given=AllocatedUnits({'w': 2.5}),
        upstreams=UpstreamsPart(6, (ROW,), (LIFETIME,), is_change=True),
        words=StatementsPart(4, WORDS),
        upstream_factors={LIFETIME: 1.5},
    ),
]
DECODERS = [
    (decode_from_entry, [encode(message) for message in FROM_ENTRY]),
    (decode_from_home, [encode(message) for message in FROM_HOME]),
]


@pytest.mark.parametrize('message', FROM_ENTRY, ids=repr)
def test_what_an_entry_sends_is_read(message):
    assert decode_from_entry(encode(message)) == message


@pytest.mark.parametrize('message', FROM_HOME, ids=repr)
def test_what_the_home_sends_is_read(message):
    assert decode_from_home(encode(message)) == message


def test_unused_fields_are_not_sent():
    short = cbor2.loads(encode(LoadMessage('n/i', LOAD)))
    assert short.keys() == {'type', 'entry', 'load'}
    table = cbor2.loads(encode(TableMessage(3, 5, 0.5, 0.25, 1.5)))
    assert 'upstream_factors' not in table


def decode_or_refuse(decoder, data):
    """Decode bytes; any exception other than ValueError fails the test."""
    try:
        return decoder(data)
    except ValueError:
        return None


@given(st.binary())
@example(b'\x9b\xff\xff\xff\xff\xff\xff\xff\xff')
@example(b'\xa1\xa0\x00')
@example(b'\x81' * 100_000)
@example(b'\xc1\xfb\x7f\xf0\x00\x00\x00\x00\x00\x00')
@example(b'\xd8\x1d\x00')
def test_arbitrary_bytes_are_decoded_or_refused(received):
    for decoder, _ in DECODERS:
        decode_or_refuse(decoder, received)


@given(st.data())
def test_changed_bytes_are_decoded_or_refused(data):
    for decoder, messages in DECODERS:
        changed = bytearray(data.draw(st.sampled_from(messages)))
        place = data.draw(st.integers(0, len(changed) - 1))
        changed[place] = data.draw(st.integers(0, 255))
        decode_or_refuse(decoder, bytes(changed))


ANYTHING = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


@given(st.data(), ANYTHING)
def test_changed_fields_are_decoded_or_refused(data, content):
    for decoder, messages in DECODERS:
        fields = cbor2.loads(data.draw(st.sampled_from(messages)))
        name = data.draw(st.sampled_from(sorted(fields)))
        decode_or_refuse(decoder, cbor2.dumps({**fields, name: content}))
        fields.pop(name)
        decode_or_refuse(decoder, cbor2.dumps(fields))


# Guards against a fleet that is upgraded node by node: what an earlier version
# sends of quarantines is understood, and it understands what is sent to it.
def test_messages_of_an_earlier_version_are_read():
    earlier = {'type': 'quarantine', 'quarantined': {IDENTITY: 9.5}}
    decoded = decode_from_home(cbor2.dumps(earlier))
    assert decoded == QuarantineMessage({IDENTITY: 9.5})
    sent = cbor2.loads(encode(QuarantineMessage()))
    assert sent['quarantined'] == {}
    report = {'type': 'crashes', 'ends': {IDENTITY: [LIFETIME]}}
    assert decode_from_entry(cbor2.dumps(report)) == CrashReport()
