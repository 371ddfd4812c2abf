"""Work out the tables of docs/CAPACITY.md from stored slopes."""

from collections.abc import Callable
from math import exp
from pathlib import Path

from fits import Slope
from spanfall_api.frames import encode_batch
from spanfall_node.config_spread import FAN_OUT
from spanfall_node.heartbeats import BEATS_ABROAD
from tables import sample_heartbeat

PAGE = Path(__file__).parent.parent / 'docs' / 'CAPACITY.md'
BEGIN = '<!-- table {0} -->'
END = '<!-- end {0} -->'

# The size of letter 1.
NODES = 570
WORKERS = 12_000
REQUESTS = 10_000
TOKENS = 3_300_000
DATA_CENTRES = 11
CHANGES_A_DAY = 19_000
FAILURES_A_DAY = 74
RESTARTS_A_DAY = 1_400
TOKEN_SECONDS = 0.051
DAY = 86_400

# Assumptions, named on the page.
WORKERS_A_SERVICE = 6
OTHER_OBJECTS = 3_000
KEYED_SHARE = 0.1
MEMBER_BYTES = 110
DELTA_BYTES = 2 * MEMBER_BYTES

# Budgets of letter 1 and of the brief.
CORE_SHARE = 0.032
MEGABYTE = 1_000_000
MEMORY_BUDGET = 256
BYTES_BUDGET = 3_000
WRITES_BUDGET = 300
READS_BUDGET = 2_000
SPREAD_BUDGET = 7

Slopes = dict[str, Slope]
Row = tuple[str, ...]


def table(head: Row, rows: list[Row]) -> str:
    """Return a Markdown table."""
    lines = [head, tuple('---' for _ in head), *rows]
    return '\n'.join('| {0} |'.format(' | '.join(row)) for row in lines)


def show(figure: float) -> str:
    """Return a figure with three significant digits."""
    if figure and abs(figure) < 0.001:
        return f'{figure:.2e}'
    if abs(figure) >= 1000:
        return f'{figure:,.0f}'
    return f'{figure:.3g}'


def verdict(figure: float, budget: float) -> str:
    """Say whether a figure keeps its budget."""
    return 'kept' if figure <= budget else f'missed {figure / budget:.1f} x'


def slope_table(slopes: Slopes) -> str:
    """Return all slopes as they were measured."""
    rows = [
        (
            name,
            ', '.join(map(show, row.sizes)),
            row.size_unit,
            f'{show(row.per_unit)} {row.figure_unit}',
            f'{show(row.base)} {row.figure_unit}',
            f'{row.error:.0%}',
            row.date,
        )
        for name, row in slopes.items()
        if row.sizes
    ]
    head = ('slope', 'sizes', 'of', 'each', 'base', 'error', 'date')
    return table(head, rows)


def node_rates() -> dict[str, float]:
    """Return what one node of the fleet sees at the peak."""
    requests = REQUESTS / NODES
    tokens = TOKENS / NODES
    seconds = TOKENS / REQUESTS * TOKEN_SECONDS
    return {
        'requests': requests,
        'tokens': tokens,
        'streams': requests * seconds,
        'changes': CHANGES_A_DAY / DAY,
        'member_events': 2 * (FAILURES_A_DAY + RESTARTS_A_DAY) / DAY,
        'followers': NODES / DATA_CENTRES,
    }


def data_table(slopes: Slopes) -> str:
    """Return what relaying costs entry and home at the peak."""
    rates = node_rates()
    rows = []
    total = 0.0
    for role in ('entry', 'home'):
        token = slopes[f'token-cpu-{role}'].per_unit * rates['tokens']
        request = slopes[f'call-cpu-{role}'].per_unit * rates['requests']
        memory = slopes[f'stream-memory-{role}']
        streams = memory.per_unit * rates['streams'] / MEGABYTE
        total += token + request
        rows.append(
            (
                role,
                show(rates['requests']),
                show(rates['tokens']),
                show(rates['streams']),
                show(token),
                show(request),
                show(streams),
            ),
        )
    rows.append(('both', '', '', '', show(total), verdict(total, 1), ''))
    head = (
        'role',
        'requests a second',
        'tokens a second',
        'open streams',
        'cores for tokens',
        'cores for requests',
        'MB for streams',
    )
    return table(head, rows)


def control_table(slopes: Slopes) -> str:
    """Return what control costs a node and a delegate, beside the budget."""
    node_bytes, delegate_bytes = control_bytes(slopes)
    node_cpu, delegate_cpu = control_cpu(slopes)
    memory = control_memory(slopes)
    spread = slopes['spread-store-up']
    seconds = spread.base + spread.per_unit * NODES
    rows = [
        budget_row('node: processor, cores', node_cpu, CORE_SHARE),
        budget_row('delegate: processor, cores', delegate_cpu, CORE_SHARE),
        budget_row('node: memory, MB', memory, MEMORY_BUDGET),
        budget_row('node: sent, bytes a second', node_bytes, BYTES_BUDGET),
        budget_row(
            'delegate: sent, bytes a second',
            delegate_bytes,
            BYTES_BUDGET,
        ),
        budget_row('change in force everywhere, s', seconds, SPREAD_BUDGET),
    ]
    return table(('control', 'at letter 1', 'budget', 'verdict'), rows)


def budget_row(name: str, figure: float, budget: float) -> Row:
    """Return a row that holds a figure against its budget."""
    return name, show(figure), show(budget), verdict(figure, budget)


def control_bytes(slopes: Slopes) -> tuple[float, float]:
    """Return bytes a second that a node and a delegate send."""
    rates = node_rates()
    idle = max(slopes['control-bytes'].figures)
    told = rates['followers'] + DATA_CENTRES
    spread = rates['member_events'] * DELTA_BYTES * told
    change = slopes['change-bytes'].per_unit
    node = idle + rates['changes'] * change * FAN_OUT
    abroad = DATA_CENTRES * beat_bytes() / BEATS_ABROAD
    return node, node + spread + abroad + rates[
        'changes'
    ] * change * DATA_CENTRES


def beat_bytes() -> int:
    """Return the size of a heartbeat that names all data centres."""
    return len(encode_batch([sample_heartbeat(DATA_CENTRES)]))


def control_cpu(slopes: Slopes) -> tuple[float, float]:
    """Return cores that control takes of a node and of a delegate."""
    rates = node_rates()
    node = max(slopes['control-cpu'].figures)
    node += slopes['change-cpu'].per_unit * rates['changes']
    beats = slopes['heartbeat-cpu'].per_unit * rates['followers']
    return node, node + beats


def control_memory(slopes: Slopes) -> float:
    """Return the megabytes of a node without any stream."""
    members = slopes['member-memory'].per_unit * NODES
    objects = slopes['object-memory'].per_unit * (WORKERS + OTHER_OBJECTS)
    base = slopes['stream-memory-entry'].base
    return (members + objects + base) / MEGABYTE


def store_table(slopes: Slopes) -> str:
    """Return the calls of the whole fleet at the key-value service."""
    idle = slopes['store-calls-idle'].figures[-1] / 4 * DATA_CENTRES
    changes = slopes['change-calls'].per_unit * CHANGES_A_DAY / DAY
    events = node_rates()['member_events']
    starts = slopes['start-calls'].per_unit * RESTARTS_A_DAY / DAY
    keyed = REQUESTS * KEYED_SHARE
    services = WORKERS / WORKERS_A_SERVICE
    claims = services * (1 - exp(-keyed / services))
    watches = 2 * DATA_CENTRES
    writes = idle + changes / 2 + events + starts / 2
    rows = [
        ('lease renewals of delegates', show(idle), ''),
        ('changes of configuration', show(changes / 2), show(changes / 2)),
        ('member records', show(events), ''),
        ('starts of nodes', show(starts / 2), show(starts / 2)),
        ('waiting watches', '', show(watches)),
        ('sum without claims', show(writes), show(watches + changes)),
        ('claims of keyed requests', show(claims), ''),
        (
            'sum',
            f'{show(writes + claims)}: '
            f'{verdict(writes + claims, WRITES_BUDGET)}',
            verdict(watches + changes, READS_BUDGET),
        ),
    ]
    return table(('calls a second', 'writes', 'reads'), rows)


def bad_day_table(slopes: Slopes) -> str:
    """Return the peaks of bad days, beside what they must keep."""
    rates = node_rates()
    start = slopes['start-calls'].per_unit
    lost = rates['followers']
    record = lost * MEMBER_BYTES
    moved = TOKENS / DATA_CENTRES / REQUESTS * REQUESTS
    rows = [
        (
            'a data centre lost at once',
            f'one record of {show(record)} bytes to each delegate and node; '
            f'{show(moved)} tokens a second move to other homes',
        ),
        (
            'a region cut off for minutes',
            'no lease or record can be renewed there; its nodes serve on '
            'and count as lost outside after one lease',
        ),
        (
            f'{RESTARTS_A_DAY} replacements while the store is down',
            'no store call succeeds; each start takes members and '
            'configuration from its delegate '
            f'({show(control_memory(slopes))} MB of state at most)',
        ),
        (
            'all nodes restarted in 60 s',
            f'{show(NODES * start / 60)} store calls a second',
        ),
    ]
    return table(('day', 'what it takes'), rows)


def decision_table(slopes: Slopes) -> str:
    """Return the time of a decision at its largest measured sizes."""
    rows = [
        (
            name,
            show(slopes[name].sizes[0]),
            show(slopes[name].figures[0]),
            show(slopes[name].sizes[-1]),
            show(slopes[name].figures[-1]),
        )
        for name in ('decision-by-queue', 'decision-by-pool')
    ]
    head = ('decision', 'smallest size', 'us', 'largest size', 'us')
    return table(head, rows)


TABLES: dict[str, Callable[[Slopes], str]] = {
    'slopes': slope_table,
    'data': data_table,
    'control': control_table,
    'store': store_table,
    'decisions': decision_table,
    'bad-days': bad_day_table,
}


def fill_in(text: str, slopes: Slopes) -> str:
    """Return the page with all tables worked out anew."""
    for name, build in TABLES.items():
        begin = BEGIN.format(name)
        end = END.format(name)
        before, _, rest = text.partition(begin)
        _, _, after = rest.partition(end)
        text = f'{before}{begin}\n{build(slopes)}\n{end}{after}'
    return text
