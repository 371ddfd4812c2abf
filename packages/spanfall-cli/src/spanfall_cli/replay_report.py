"""Hold what a replay shows: promises, stated outcomes and figures."""

from dataclasses import dataclass
from typing import Any

from spanfall_cli.promises import (
    Checked,
    Evidence,
    Figures,
    check_all,
    measure,
)
from spanfall_cli.traces import Trace


@dataclass(frozen=True, slots=True)
class Report:
    """Hold the result of a replay."""

    checks: list[Checked]
    figures: Figures
    stated: bool

    def kept(self) -> bool:
        """Tell whether all promises and stated outcomes were kept."""
        return self.stated and not any(row.broken for row in self.checks)

    def document(self) -> dict[str, Any]:
        """Return the report as a JSON document."""
        figures = {
            name: getattr(self.figures, name) for name in Figures.__slots__
        }
        return {
            'promises': {
                row.promise: {
                    'checked': row.checked,
                    'broken': len(row.broken),
                    'examples': row.broken[:3],
                }
                for row in self.checks
            },
            'stated_outcomes_kept': self.stated,
            'figures': figures,
        }


def check_evidence(trace: Trace, evidence: Evidence) -> Report:
    """Check the promises and outcomes that a trace states."""
    figures = measure(evidence)
    share = figures.answered / max(1, len(evidence.outcomes))
    wanted = set(trace.outcomes.promises)
    checks = [row for row in check_all(evidence) if row.promise in wanted]
    return Report(checks, figures, share >= trace.outcomes.least_answered)
