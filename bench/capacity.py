"""Measure all slopes and rewrite the tables of docs/CAPACITY.md.

Usage: python bench/capacity.py [--tables-only]
"""

import datetime
import sys

import control
import gateway_tables
import tables
import traffic
from fits import Slope, fit, save, stored_slopes
from page import PAGE, fill_in

UNITS = {
    'token-cpu-entry': ('tokens', 's'),
    'token-cpu-home': ('tokens', 's'),
    'call-cpu-entry': ('calls', 's'),
    'call-cpu-home': ('calls', 's'),
    'stream-memory-entry': ('open streams', 'bytes'),
    'stream-memory-home': ('open streams', 'bytes'),
    'control-bytes': ('nodes', 'bytes a second'),
    'control-cpu': ('nodes', 'cores'),
    'store-calls-idle': ('nodes', 'calls a second'),
    'spread-store-up': ('nodes', 's'),
    'takeover': ('nodes', 's'),
    'start-calls': ('starts', 'calls'),
    'change-bytes': ('changes', 'bytes a node'),
    'change-calls': ('changes', 'calls'),
    'claim-writes': ('claims', 'writes'),
}


def measure() -> None:
    """Measure everything and store the results."""
    today = datetime.date.today().isoformat()
    slopes = {**tables.SLOPES, **gateway_tables.SLOPES}
    for name, (units, run) in slopes.items():
        save(fit(name, units, today, run()))
        print(name, flush=True)
    rows = control.measure_all()
    traffic_rows, overhead = traffic.measure_all()
    for name, points in {**rows, **traffic_rows}.items():
        save(fit(name, UNITS[name], today, points))
        print(name, flush=True)
    save(Slope('overhead', '', '', today, [], [], notes=overhead))


def main() -> None:
    """Measure, unless told to work out the tables only."""
    if '--tables-only' not in sys.argv:
        measure()
    text = PAGE.read_text('utf-8')
    PAGE.write_text(fill_in(text, stored_slopes()), 'utf-8')


if __name__ == '__main__':
    main()
