"""Track which parts of prompts are in the prefix cache of each upstream.

Parts are processed in order: a part is cached only if all parts before it are.
The index covers only the requests that this entry sent; the upstream for an
unknown part is chosen by hash, so that entries agree without communication.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from hashlib import blake2b

from spanfall_core.gateway.known.lifetimes import Lifetime

#: Maximum number of parts kept for each upstream; the oldest are dropped.
MAX_PARTS_PER_UPSTREAM = 400

#: Maximum length of a part's id; longer ones are named by a digest.
MAX_PART_ID_LENGTH = 32
#: Digest size in bytes of the name of a long id.
DIGEST_BYTES = 12

#: Upstreams that have processed a part, latest last.
Holders = dict[Lifetime, None]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Identify a part of a prompt, with its length."""

    part_id: str
    tokens: int


def short_part_id(part_id: str) -> str:
    """Return the id of a part, or a digest of one that is very long.

    Ids are kept by the hundred for each upstream, and callers choose them.
    """
    if len(part_id) <= MAX_PART_ID_LENGTH:
        return part_id
    return blake2b(part_id.encode(), digest_size=DIGEST_BYTES).hexdigest()


@dataclass(slots=True)
class PrefixIndex:
    """Index the parts that each upstream has processed, oldest first."""

    _parts: dict[Lifetime, OrderedDict[str, None]] = field(default_factory=dict)
    _holders: dict[str, Holders] = field(default_factory=dict)

    def cached_tokens(
        self,
        lifetime: Lifetime,
        parts: tuple[PromptPart, ...],
    ) -> int:
        """Return the number of leading tokens that an upstream has cached."""
        known = self._parts.get(lifetime)
        if not known:
            return 0
        total = 0
        for part in parts:
            if part.part_id not in known:
                break
            total += part.tokens
        return total

    def record(
        self,
        lifetime: Lifetime,
        parts: tuple[PromptPart, ...],
    ) -> None:
        """Record that an upstream processes all parts of a prompt."""
        known = self._parts.setdefault(lifetime, OrderedDict())
        for part in parts:
            known[part.part_id] = None
            known.move_to_end(part.part_id)
            holders = self._holders.setdefault(part.part_id, {})
            holders.pop(lifetime, None)
            holders[lifetime] = None
        while len(known) > MAX_PARTS_PER_UPSTREAM:
            part_id, _ = known.popitem(last=False)
            self._drop(part_id, lifetime)

    def holders(
        self,
        parts: tuple[PromptPart, ...],
    ) -> Iterator[Iterable[Lifetime]]:
        """Yield the upstreams that have processed each part, last part first.

        An upstream that has processed a later part has most of the prompt
        cached. For each part, the latest upstream comes first.
        """
        for part in reversed(parts):
            if part.part_id in self._holders:
                yield reversed(self.holders_of(part))

    def holders_of(self, part: PromptPart) -> Holders:
        """Return the upstreams that have processed a part, latest last."""
        return self._holders.get(part.part_id, {})

    def _drop(self, part_id: str, lifetime: Lifetime) -> None:
        holders = self._holders[part_id]
        holders.pop(lifetime, None)
        if not holders:
            self._holders.pop(part_id)

    def forget(self, lifetime: Lifetime) -> None:
        """Drop the index of an upstream that is gone."""
        for part_id in self._parts.pop(lifetime, ()):
            self._drop(part_id, lifetime)
