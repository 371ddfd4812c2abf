"""Test that identities are equal exactly for attempts of the same request."""

from hypothesis import given
from hypothesis import strategies as st
from spanfall_core.gateway.known.identity import request_identity

PARTS = st.tuples(
    st.text(max_size=3),
    st.text(max_size=3),
    st.text(max_size=3),
    st.text(max_size=3),
    st.binary(max_size=3),
)


@given(PARTS, PARTS)
def test_identities_differ_if_any_part_differs(first, second):
    same = request_identity(*first) == request_identity(*second)
    assert same == (first == second)
