"""Tell from the logs of several nodes how a request ended, and why."""

import json

import pytest
from click.testing import CliRunner
from spanfall_cli.main import main


def line(second, node, part, text, level='INFO', **more):
    """Return one line as a node writes it."""
    content = {
        'asctime': f'2026-06-11 14:56:{second:06.3f}'.replace('.', ','),
        'levelname': level,
        'name': f'spanfall_node.gateway.{part}',
        'message': text,
        'node': node,
        **more,
    }
    return json.dumps(content)


CUT = [
    line(4, 'n-1', 'sync', 'Upstream i-7 of llm leaves or went, by listing 5'),
    line(4, 'n-1', 'sync', 'Upstream i-8 of llm leaves or went, by listing 5'),
    line(6, 'n-1', 'relay', 'Request r1 at i-7 ended broken: x; next: unknown'),
    line(6, 'n-1', 'relay', 'Request r2 at i-7 ended broken: x; next: unknown'),
    line(
        6.1,
        'n-1',
        'relay',
        'Cut the answer to r1: closed early; the caller sees it as unfinished',
        'WARNING',
        left_out=3,
    ),
    line(6, 'n-2', 'entry_link', 'Lost the home n-3: no answer'),
]
REFUSED = [
    line(5, 'n-2', 'entry_link', 'Lost the home n-3: the link ended'),
    line(
        5.5,
        'n-2',
        'callers',
        'Refused request r3 with 429: rate-limited; w: 20 units asked, 3 left '
        'here of 900; target /x, configuration 5',
    ),
    line(5.4, 'n-1', 'callers', 'Refused request r31 with 503: no; ; target /'),
]
RETRIED = [
    line(
        1.2,
        'n-2',
        'attempt',
        'Request r4 of chat: 200 from i-9, send 2, identity 7c1e, held 0.250 s',
    ),
    line(1, 'n-2', 'relay', 'Request r4 at i-5 ended not-sent: y; next: again'),
]

#: A request that comes again, and the quarantine of it at another node.
AGAIN = [
    line(
        2,
        'n-2',
        'callers',
        'Refused request r5 with 502: ends-upstreams; identity 9f2a; target /x',
    ),
    line(
        1.5,
        'n-2',
        'crash_knowledge',
        'Upstreams end under identity 9f2a, i-5 last: it is not served',
    ),
    line(
        1.4,
        'n-2',
        'relay',
        'Request r6 at i-5 ended broken: x; next: unknown; identity 9f2a',
    ),
]

#: Requests that share a part of their prompts, and one that does not.
WITH_PART = [
    line(
        1,
        'n-1',
        'relay',
        'Request r7 at i-5 ended broken: x; next: again; identity 9f2b; '
        'prompt part/5c1e part/77',
    ),
    line(
        2,
        'n-2',
        'relay',
        'Request r8 at i-6 ended broken: x; next: unknown; identity 9f2c; '
        'prompt part/5c1e',
    ),
    line(
        2,
        'n-2',
        'relay',
        'Request r9 at i-6 ended broken: x; next: again; identity 9f2d; '
        'prompt part/77',
    ),
    line(
        2.5,
        'n-2',
        'crash_knowledge',
        'Upstreams end under part/5c1e, i-6 last: it is quarantined',
    ),
]


def explain(tmp_path, request_id, *extra):
    """Run the command over the logs of two nodes."""
    first, second = tmp_path / 'first.log', tmp_path / 'second.log'
    first.write_text('\n'.join(['  17.4 n-1 not json', *CUT]))
    second.write_text('\n'.join([*REFUSED, *RETRIED]))
    words = ['logs', 'explain', request_id, str(first), str(second), *extra]
    return CliRunner().invoke(main, words)


def test_an_answer_that_was_cut(tmp_path):
    shown = explain(tmp_path, 'r1')
    rows = shown.output.splitlines()
    assert shown.exit_code == 0
    assert 'Upstream i-7' in rows[0]
    assert not any('i-8' in row or 'r2' in row for row in rows)
    assert 'End: cut: closed early (by n-1)' in rows
    assert 'Its nodes left out 3 lines meanwhile.' in rows
    assert '1 lines were no log lines.' in rows


def test_a_refusal_after_the_home_was_lost(tmp_path):
    rows = explain(tmp_path, 'r3').output.splitlines()
    assert 'Lost the home n-3: the link ended' in rows[0]
    assert rows[-2].startswith('End: refused with 429: rate-limited; w: 20')
    assert not any('r31' in row for row in rows)


def test_lines_come_in_the_order_of_time(tmp_path):
    shown = json.loads(explain(tmp_path, 'r4', '--json').output)
    texts = [row['text'] for row in shown['lines']]
    assert texts[0].startswith('Request r4 at i-5 ended not-sent')
    assert shown['end'] == 'answered 200 from i-9 (by n-2)'


@pytest.mark.parametrize('request_id', ['r', 'r9'])
def test_a_request_that_no_line_names(tmp_path, request_id):
    shown = explain(tmp_path, request_id)
    assert shown.exit_code == 1
    assert f'no line names request {request_id}: 12 lines' in shown.output


def test_a_refusal_of_what_ends_upstreams(tmp_path):
    """The quarantine shows with its request, and all attempts by its identity."""
    third = tmp_path / 'third.log'
    third.write_text('\n'.join(AGAIN))
    rows = explain(tmp_path, 'r5', str(third)).output.splitlines()
    assert any('Upstreams end under identity 9f2a' in row for row in rows)
    assert not any('r6' in row for row in rows)
    end = 'End: refused with 502: ends-upstreams; identity 9f2a (by n-2)'
    assert end in rows
    attempts = explain(tmp_path, '9f2a', str(third)).output
    assert 'r5' in attempts
    assert 'r6' in attempts


def test_requests_with_a_part_that_ends_upstreams(tmp_path):
    """All failed requests with a part are found by its name."""
    third = tmp_path / 'third.log'
    third.write_text('\n'.join(WITH_PART))
    shown = explain(tmp_path, 'part/5c1e', str(third)).output
    assert 'r7' in shown
    assert 'r8' in shown
    assert 'r9' not in shown
    rows = explain(tmp_path, 'r8', str(third)).output.splitlines()
    assert any('Upstreams end under part/5c1e' in row for row in rows)
