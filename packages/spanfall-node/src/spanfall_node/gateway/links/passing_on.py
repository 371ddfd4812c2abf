"""Send the configuration to the entries without saturating the home's link.

A configuration of 1,400 routes has half a megabyte. Sent uncompressed to 195
entries it would occupy a link of 100 Mbit/s for eight seconds. The home's
answers would queue behind it, and all entries would lose the home.
"""

import zlib
from dataclasses import dataclass

from spanfall_node.gateway.links.messages import ConfigurationPart

#: zlib compression level. The fastest level reduces such a configuration to a
#: thirtieth in half a millisecond.
COMPRESSION_LEVEL = 1
#: Maximum size of a decompressed configuration in bytes.
MAX_UNPACKED_BYTES = 16_777_216
#: Fraction of the home's link that configurations may use.
LINK_FRACTION = 0.25
#: Seconds of that rate that may be sent in advance. An entry that receives no
#: configuration reads the store itself, or receives it with its next table.
BURST_SECONDS = 0.3
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


@dataclass(slots=True)
class ConfigurationSender:
    """Hold the compressed configuration and limit its use of the link."""

    link_megabits: float
    _version: int = 0
    _packed: bytes = b''
    #: When all data sent so far has left, at the allowed rate.
    _sent_until: float = float('-inf')

    def part(
        self,
        version: int,
        source: bytes,
        now: float,
    ) -> ConfigurationPart | None:
        """Return the configuration for an entry, or None over the rate limit.

        ``source`` is the configuration as stored.
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
    """Return the configuration as stored.

    Raises:
        ValueError: the data is invalid, truncated or too large.
    """
    reader = zlib.decompressobj()
    try:
        source = reader.decompress(part.packed, MAX_UNPACKED_BYTES)
    except zlib.error as exc:
        raise ValueError(f'not packed: {exc}') from exc
    if not reader.eof:
        raise ValueError('the configuration is cut off or too large')
    return source
