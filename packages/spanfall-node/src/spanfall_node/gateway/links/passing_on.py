"""Pass the configuration on to the entries without filling the home's link.

A configuration of 1,400 routes has half a megabyte; sent as it is to 195
entries it takes a link of 100 Mbit/s for eight seconds, in which the home's
answers wait behind it and all entries lose the home.
"""

import zlib
from dataclasses import dataclass

from spanfall_node.gateway.links.messages import ConfigurationPart

#: Level of compression: the fastest one makes a thirtieth of such a
#: configuration in half a millisecond.
COMPRESSION_LEVEL = 1
#: Most bytes of a configuration that a message may hold, once unpacked.
MAX_UNPACKED_BYTES = 16_777_216
#: Part of the home's link that configurations may take.
LINK_FRACTION = 0.25
#: Seconds of that part that may be taken in advance. An entry that gets
#: nothing reads the store itself, or gets it with its next table.
BURST_SECONDS = 0.3
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


@dataclass(slots=True)
class ConfigurationSender:
    """Hold the configuration as it is sent, and how busy the link is."""

    link_megabits: float
    _version: int = 0
    _packed: bytes = b''
    #: When all that was sent so far has left, at the pace allowed.
    _sent_until: float = float('-inf')

    def part(
        self,
        version: int,
        source: bytes,
        now: float,
    ) -> ConfigurationPart | None:
        """Return the configuration for one more entry, unless it is too soon.

        ``source`` is the configuration as the store holds it.
        """
        if now + BURST_SECONDS < self._sent_until:
            return None
        if version != self._version:
            self._packed = zlib.compress(source, COMPRESSION_LEVEL)
            self._version = version
        bytes_per_second = (
            self.link_megabits
            * BITS_PER_MEGABIT
            / BITS_PER_BYTE
            * LINK_FRACTION
        )
        seconds = len(self._packed) / bytes_per_second
        self._sent_until = max(now, self._sent_until) + seconds
        return ConfigurationPart(version, self._packed)


def unpack(part: ConfigurationPart) -> bytes:
    """Return the configuration as the store holds it.

    Raises:
        ValueError: this is none, or too large.
    """
    reader = zlib.decompressobj()
    try:
        source = reader.decompress(part.packed, MAX_UNPACKED_BYTES)
    except zlib.error as exc:
        raise ValueError(f'not packed: {exc}') from exc
    if not reader.eof:
        raise ValueError('the configuration is cut off or too large')
    return source
