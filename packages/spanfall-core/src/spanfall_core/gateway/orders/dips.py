"""Keep upstreams through dips of the need that end soon after a stop.

An upstream that is needed again within a boot time after it was stopped is
missing while its replacement boots. How long dips last is learned for each
count: below the peak of a load that swings they last longer than above its
lowest.
"""

from dataclasses import dataclass, field

from spanfall_core.gateway.orders.expected_value import CapacityNeed

#: Boot times for which a lower count must suffice before upstreams are stopped.
#: On-demand ones can be ordered again at any time.
RECLAIMABLE_HOLD_BOOTS = 2
ON_DEMAND_HOLD_BOOTS = 1

#: Length of the dips below a count of which none is known.
_UNKNOWN = float('-inf')


@dataclass(slots=True)
class DipHistory:
    """Remember for each count how long the need was lower before."""

    _needed: int = 0
    #: Times at which the need fell below counts that it has not reached since.
    _fell_at: dict[int, float] = field(default_factory=dict)
    #: Seconds of the longest dip below each count since one that was long
    #: enough for a stop, if it was too short for one.
    _lengths: dict[int, float] = field(default_factory=dict)

    def keep(
        self, needed: int, hold: float, boot_seconds: float, now: float
    ) -> int:
        """Return the count that a need calls for if its dips last as before.

        Upstreams are stopped after ``hold`` seconds of a lower need. A dip that
        outlasts those before by a boot time is taken to be a lasting fall.
        """
        for reached in range(self._needed + 1, needed + 1):
            seconds = now - self._fell_at.pop(reached, now)
            known = self._lengths.get(reached, hold - boot_seconds)
            stopped_after = known + boot_seconds
            if seconds >= stopped_after + boot_seconds:
                self._lengths.pop(reached, None)
            elif seconds >= hold:
                self._lengths[reached] = max(known, seconds)
        fallen = range(needed + 1, self._needed + 1)
        self._fell_at.update(dict.fromkeys(fallen, now))
        self._needed = needed
        return max(
            (
                count
                for count, fell_at in self._fell_at.items()
                if now - fell_at
                < self._lengths.get(count, _UNKNOWN) + boot_seconds
            ),
            default=needed,
        )


@dataclass(slots=True)
class NeedDips:
    """Remember the dips of all counts that a need consists of."""

    _reclaimable: DipHistory = field(default_factory=DipHistory)
    _on_demand: DipHistory = field(default_factory=DipHistory)
    _after_loss: DipHistory = field(default_factory=DipHistory)

    def keep(
        self, need: CapacityNeed, boot_seconds: float, now: float
    ) -> CapacityNeed:
        """Return what a need calls for if its dips last as before."""
        hold = RECLAIMABLE_HOLD_BOOTS * boot_seconds
        short_hold = ON_DEMAND_HOLD_BOOTS * boot_seconds
        return CapacityNeed(
            self._reclaimable.keep(need.reclaimable, hold, boot_seconds, now),
            self._on_demand.keep(need.on_demand, short_hold, boot_seconds, now),
            self._after_loss.keep(need.after_loss, hold, boot_seconds, now),
        )
