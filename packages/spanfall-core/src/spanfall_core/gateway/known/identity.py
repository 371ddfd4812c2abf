"""Identify a request across retries and entries.

Each attempt has its own id; the caller, target and body identify attempts of
the same request.
"""

from hashlib import blake2b
from typing import NewType

#: Identity of a request, equal for each attempt and on each entry.
RequestIdentity = NewType('RequestIdentity', str)
#: Digest size in bytes, large enough that no other request can be constructed
#: with the same digest; it would be refused because of this one.
DIGEST_BYTES = 16
#: Bytes of the length prefix of each part, so that different lists of parts
#: never encode to the same bytes.
LENGTH_BYTES = 8


def request_identity(
    caller: str,
    host: str,
    method: str,
    target: str,
    body: bytes,
) -> RequestIdentity:
    """Return the identity of a request without revealing its body.

    The digest is not keyed: all nodes must compute the same one, including a
    node that has just started and cannot reach any other.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    text_parts = (part.encode() for part in (caller, host, method, target))
    for part in (*text_parts, body):
        digest.update(len(part).to_bytes(LENGTH_BYTES, 'big'))
        digest.update(part)
    return RequestIdentity(digest.hexdigest())
