"""Name what a request is, however often and wherever it comes.

Each attempt of a caller has an id of its own. Caller, target and body tell
that it is the same request again.
"""

from hashlib import blake2b
from typing import NewType

#: Name of a request, the same at each attempt and at each entry.
RequestIdentity = NewType('RequestIdentity', str)
#: Bytes of the digest: nobody finds another request with the same one, which
#: would be refused for what this one did.
DIGEST_BYTES = 16
#: Bytes that tell the length of each part, so that no two lists of parts give
#: the same bytes.
LENGTH_BYTES = 8


def request_identity(
    caller: str,
    host: str,
    method: str,
    target: str,
    body: bytes,
) -> RequestIdentity:
    """Name a request of a caller; the name does not show the body.

    The digest has no key: all nodes have to agree on it, also one that has
    just started and reaches nobody.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    text_parts = (part.encode() for part in (caller, host, method, target))
    for part in (*text_parts, body):
        digest.update(len(part).to_bytes(LENGTH_BYTES, 'big'))
        digest.update(part)
    return RequestIdentity(digest.hexdigest())
