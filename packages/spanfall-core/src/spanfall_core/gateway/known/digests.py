"""Compute digests by which nodes compare their tables."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from spanfall_core.gateway.known.listed import ListedUpstream

#: Mask for the digest: 48 bits, which any codec can represent.
DIGEST_MASK = 0xFFFFFFFFFFFF


def directory_digest(rows: Iterable[ListedUpstream]) -> int:
    """Return a digest that is equal on nodes with the same upstreams."""
    known = sorted(
        (
            row.lifetime,
            row.address,
            row.leaving,
            row.paused,
            row.software_version or '',
        )
        for row in rows
    )
    return xxh3_64_intdigest(repr(known).encode()) & DIGEST_MASK
