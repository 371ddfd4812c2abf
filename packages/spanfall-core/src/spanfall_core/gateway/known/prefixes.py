"""Remember which upstream has read which part of a prompt.

Parts are read in order: a part is cached only if all before it are. The
record is this entry's own sends; the upstream that first gets an unknown
part is chosen by hash, so that entries agree without a message.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from spanfall_core.gateway.known.lifetimes import Lifetime

#: Parts remembered for each upstream, newest kept.
MAX_PARTS_PER_UPSTREAM = 400


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Name a part of a prompt and give its length."""

    part_id: str
    tokens: int


@dataclass(slots=True)
class PrefixIndex:
    """Hold the parts that each upstream has read, oldest first."""

    _parts: dict[Lifetime, OrderedDict[str, None]] = field(default_factory=dict)
    #: The upstreams that have read each part, the latest last.
    _holders: dict[str, dict[Lifetime, None]] = field(default_factory=dict)

    def cached_tokens(
        self,
        lifetime: Lifetime,
        parts: tuple[PromptPart, ...],
    ) -> int:
        """Return how many leading tokens an upstream has read already."""
        known = self._parts.get(lifetime)
        if not known:
            return 0
        total = 0
        for part in parts:
            if part.part_id not in known:
                break
            total += part.tokens
        return total

    def remember(
        self,
        lifetime: Lifetime,
        parts: tuple[PromptPart, ...],
    ) -> None:
        """Note that an upstream reads all parts of a prompt."""
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
        """Yield who has read each part of a prompt, the last part first.

        Whoever has read a later part has read most of the prompt. Of each
        part, the upstream that read it last comes first.
        """
        for part in reversed(parts):
            holders = self._holders.get(part.part_id)
            if holders:
                yield reversed(holders)

    def _drop(self, part_id: str, lifetime: Lifetime) -> None:
        holders = self._holders[part_id]
        holders.pop(lifetime, None)
        if not holders:
            self._holders.pop(part_id)

    def forget(self, lifetime: Lifetime) -> None:
        """Drop the record of an upstream that is gone."""
        for part_id in self._parts.pop(lifetime, ()):
            self._drop(part_id, lifetime)
