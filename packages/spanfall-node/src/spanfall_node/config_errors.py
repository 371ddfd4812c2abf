"""Say why a change of configuration was not accepted."""

from collections.abc import Sequence

from spanfall_core.configuration import Conflict


class ConflictError(Exception):
    """Tell an editor which objects changed since they were read."""

    def __init__(self, conflicts: Sequence[Conflict]) -> None:
        """Keep the conflicts."""
        super().__init__(conflicts)
        self.conflicts = conflicts


class RacesLostError(Exception):
    """Tell that other changes kept winning; the change was not accepted."""
