"""Streams are relayed by event: no gap, no repeat, visible truncation."""

from gateway_world import ask, in_world
from spanfall_node.gateway.upstreams.event_parts import EventSplitter
from spanfall_standins.gateway.upstream import events, resumable


def event_text(first, last):
    return b''.join(
        b'id: %d\ndata: x\n\n' % number for number in range(first, last + 1)
    )


@in_world
async def test_a_stream_is_relayed_as_sent(world):
    await world.add_upstream(events(1, 4))
    state = await world.add_gateway()
    answer = await ask(state, '/stream/7')
    assert (answer.status, answer.complete) == (200, True)
    assert answer.body == event_text(1, 4)
    assert answer.headers['signed'] == 'u-1.a1'


@in_world
async def test_a_broken_stream_is_visibly_incomplete(world):
    """The caller gets only complete events, and no end of the body."""
    await world.add_upstream(events(1, 2, ends=False))
    state = await world.add_gateway()
    answer = await ask(state, '/stream/7')
    assert (answer.complete, answer.body) == (False, event_text(1, 2))


@in_world
async def test_a_broken_stream_resumes_elsewhere(world):
    first = await world.add_upstream(resumable(4, breaks_after=2))
    second = await world.add_upstream(resumable(4, breaks_after=2))
    state = await world.add_gateway()
    answer = await ask(state, '/resume/7')
    resumed = [*first.received_requests, *second.received_requests]
    assert (answer.complete, answer.body) == (True, event_text(1, 4))
    assert {row.headers.get('last-event-id') for row in resumed} == {None, '2'}
    assert (len(first.received_requests), len(second.received_requests)) == (
        1,
        1,
    )


def test_events_split_at_any_byte():
    content = b'id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3\nda'
    whole = content[: content.index(b'id: 3')]
    for cut, _ in enumerate(content):
        splitter = EventSplitter()
        parts = splitter.feed(content[:cut]) + splitter.feed(content[cut:])
        assert (parts, splitter.partial_event) == (whole, b'id: 3\nda')
        assert splitter.last_id == b'2'
