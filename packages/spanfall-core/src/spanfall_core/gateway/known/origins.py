"""Name the software that began a stream.

What two versions of an upstream's software write does not fit together, so a
stream continues only at the version that sent its first event.
"""

from dataclasses import dataclass

#: Maximum length of a version; a longer one is not valid.
MAX_VERSION_CHARS = 64


@dataclass(frozen=True, slots=True)
class Origin:
    """Name the service and the software version that began a stream."""

    service: str
    #: None if it is not known; it then equals no other, itself included.
    software_version: str | None

    @property
    def is_known(self) -> bool:
        """Return whether any upstream can be known to continue the stream."""
        return self.software_version is not None


def read_software_version(stated: object) -> str | None:
    """Return a version of an upstream's software, or None if it is invalid."""
    if isinstance(stated, str) and 0 < len(stated) <= MAX_VERSION_CHARS:
        return stated
    return None
