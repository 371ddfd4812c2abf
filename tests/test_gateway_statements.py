"""What upstreams say of themselves, in any order that nodes hear it."""

from hypothesis import given
from hypothesis import strategies as st
from spanfall_core.gateway.known.statements import (
    KnownWord,
    News,
    Statement,
    Statements,
)

UPSTREAM = 'u-1'


def hear(table, now, sent_at=None, *, is_signed=True, **said):
    sent_at = now if sent_at is None else sent_at
    return table.hear(
        UPSTREAM,
        Statement(**said),
        sent_at,
        now,
        is_signed=is_signed,
    )


def test_a_limit_stands_until_it_is_taken_back():
    table = Statements()
    assert hear(table, 1, rate=2) == [News.LIMIT]
    assert hear(table, 2, rate=2) == []
    assert table.rates == {UPSTREAM: 2}
    assert hear(table, 3) == [News.NO_LIMIT]
    assert not table.rates


def test_only_a_later_run_takes_a_limit_back():
    """An answer under way, a refusal and a broken header take none back."""
    table = Statements()
    hear(table, 1, rate=2)
    assert not hear(table, 2, sent_at=0.5)
    assert not hear(table, 2, is_signed=False)
    assert hear(table, 2, is_rate_unread=True) == [News.UNREAD_LIMIT]
    assert table.rates == {UPSTREAM: 2}


def test_it_leaves_for_good():
    table = Statements()
    assert hear(table, 1, leaves=True) == [News.LEAVES]
    assert not hear(table, 2)
    assert not table.learn({UPSTREAM: KnownWord()}, 3)
    assert table.leaving == {UPSTREAM}


def test_the_later_word_counts_in_any_order():
    words = [KnownWord(5, 3), KnownWord(None, 2), KnownWord(1, 1)]
    for order in (words, list(reversed(words))):
        table = Statements()
        for word in order:
            table.learn({UPSTREAM: word}, 10)
        assert table.rates == {UPSTREAM: 1}


def test_another_node_asks_for_what_is_new():
    table = Statements()
    hear(table, 1, rate=2)
    known = table.version
    assert table.words_since(0, 3) == {UPSTREAM: KnownWord(2, 2)}
    assert not table.words_since(known, 3)
    hear(table, 4, leaves=True, rate=2)
    assert table.words_since(known, 4) == {UPSTREAM: KnownWord(2, 3, True)}
    table.forget(UPSTREAM)
    assert not table.words_since(0, 5)


WORDS = st.lists(
    st.tuples(
        st.sampled_from(('u-1', 'u-2')),
        st.sampled_from((None, 0.5, 2.0)),
        st.booleans(),
    ),
    max_size=20,
)


@given(WORDS, WORDS)
def test_two_nodes_agree_once_both_have_told(here, there):
    """Whoever heard what: after both have told, both withhold the same."""
    tables = [Statements(), Statements()]
    now = 0
    for table, heard in zip(tables, (here, there), strict=True):
        for lifetime, rate, leaves in heard:
            now += 1
            said = Statement(rate=rate, leaves=leaves)
            table.hear(lifetime, said, now, now, is_signed=True)
    first, second = tables
    second.learn(first.words_since(0, now), now)
    first.learn(second.words_since(0, now), now)
    assert first.rates == second.rates
    assert first.leaving == second.leaving
