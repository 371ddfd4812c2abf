"""Test the statements of upstreams, received by nodes in any order."""

from hypothesis import given
from hypothesis import strategies as st
from spanfall_core.gateway.known.statements import (
    KnownStatement,
    Statement,
    StatementChange,
    Statements,
)

UPSTREAM = 'u-1'


def record(table, now, sent_at=None, *, is_signed=True, **said):
    sent_at = now if sent_at is None else sent_at
    return table.record(
        UPSTREAM,
        Statement(**said),
        sent_at,
        now,
        is_signed=is_signed,
    )


def test_limit_stands_until_withdrawn():
    table = Statements()
    assert record(table, 1, rate=2) == [StatementChange.LIMIT]
    assert record(table, 2, rate=2) == []
    assert table.rates == {UPSTREAM: 2}
    assert record(table, 3) == [StatementChange.NO_LIMIT]
    assert not table.rates


def test_only_later_run_withdraws_limit():
    """Test that older requests, refusals and bad headers keep the limit."""
    table = Statements()
    record(table, 1, rate=2)
    assert not record(table, 2, sent_at=0.5)
    assert not record(table, 2, is_signed=False)
    assert record(table, 2, is_rate_invalid=True) == [
        StatementChange.INVALID_LIMIT
    ]
    assert table.rates == {UPSTREAM: 2}


def test_leaving_is_permanent():
    table = Statements()
    assert record(table, 1, leaves=True) == [StatementChange.LEAVES]
    assert not record(table, 2)
    assert not table.merge({UPSTREAM: KnownStatement()}, 3)
    assert table.leaving == {UPSTREAM}


def test_latest_statement_wins_in_any_order():
    statements = [
        KnownStatement(5, 3),
        KnownStatement(None, 2),
        KnownStatement(1, 1),
    ]
    for order in (statements, list(reversed(statements))):
        table = Statements()
        for statement in order:
            table.merge({UPSTREAM: statement}, 10)
        assert table.rates == {UPSTREAM: 1}


def test_changes_since_version():
    table = Statements()
    record(table, 1, rate=2)
    known = table.version
    assert table.changes_since(0, 3) == {UPSTREAM: KnownStatement(2, 2)}
    assert not table.changes_since(known, 3)
    record(table, 4, leaves=True, rate=2)
    assert table.changes_since(known, 4) == {
        UPSTREAM: KnownStatement(2, 3, True)
    }
    table.forget(UPSTREAM)
    assert not table.changes_since(0, 5)


STATEMENTS = st.lists(
    st.tuples(
        st.sampled_from(('u-1', 'u-2')),
        st.sampled_from((None, 0.5, 2.0)),
        st.booleans(),
    ),
    max_size=20,
)


@given(STATEMENTS, STATEMENTS)
def test_nodes_agree_after_exchange(here, there):
    """Test that nodes hold the same limits after exchanging statements."""
    tables = [Statements(), Statements()]
    now = 0
    for table, received in zip(tables, (here, there), strict=True):
        for lifetime, rate, leaves in received:
            now += 1
            said = Statement(rate=rate, leaves=leaves)
            table.record(lifetime, said, now, now, is_signed=True)
    first, second = tables
    second.merge(first.changes_since(0, now), now)
    first.merge(second.changes_since(0, now), now)
    assert first.rates == second.rates
    assert first.leaving == second.leaving
