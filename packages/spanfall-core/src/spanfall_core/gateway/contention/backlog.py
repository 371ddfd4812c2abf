"""Sum up the waiting work of many workspaces by how far each one reaches."""

from dataclasses import dataclass, field
from math import frexp


@dataclass(slots=True)
class _Bin:
    """Sum up workspaces whose work per weight has one binary exponent."""

    flows: int = 0
    units: float = 0
    weights: float = 0


@dataclass(slots=True)
class Backlog:
    """Hold the sums of the workspaces that wait at one level.

    The work per weight of the workspaces of one bin differs by less than a
    factor of two, so sums over a few dozen bins replace those over all
    workspaces.
    """

    units: float = 0
    weights: float = 0
    _bins: dict[int, _Bin] = field(default_factory=dict)

    def include(self, units: float, weight: float) -> None:
        """Add the work of a workspace."""
        self.units += units
        self.weights += weight
        exponent = frexp(units / weight)[1]
        one = self._bins.get(exponent)
        if one is None:
            one = _Bin()
            self._bins[exponent] = one
        one.flows += 1
        one.units += units
        one.weights += weight

    def exclude(self, units: float, weight: float) -> None:
        """Remove the work of a workspace, as it was included."""
        exponent = frexp(units / weight)[1]
        one = self._bins[exponent]
        one.flows -= 1
        if not one.flows:
            self._bins.pop(exponent)
        if not self._bins:
            # Sums of floats don't return to zero by themselves.
            self.units = 0
            self.weights = 0
            return
        one.units -= units
        one.weights -= weight
        self.units -= units
        self.weights -= weight

    def served_beside(self, progress: float) -> float:
        """Return the work served while each gets that much per weight."""
        return sum(
            min(one.units, progress * one.weights)
            for one in self._bins.values()
        )
