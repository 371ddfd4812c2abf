"""Play one day many times with its moments drawn a little apart.

    python bench/often.py --program P --site S --day F --plays 100 --apart 0.6

For a fault that showed once: what broke is named with its seed, and the
output of each play that broke something is kept.
"""

import re
from pathlib import Path
from random import Random

import anyio
import click
from checkouts import checkouts_of, read_way
from plays import Play, Player, PlayFile

_MOMENT = re.compile(r'(\bat = )([0-9.]+)')


def drawn_day(source: str, luck: Random, apart: float) -> str:
    """Return a day whose moments lie up to some seconds elsewhere."""

    def shift(found: re.Match[str]) -> str:
        at = max(0, float(found.group(2)) + luck.uniform(-apart, apart))
        return f'{found.group(1)}{at:.3f}'

    return _MOMENT.sub(shift, source)


def draw_days(day: Path, folder: Path, plays: int, apart: float) -> list[Path]:
    """Write as many days, each drawn from its own seed."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = [folder / f'{day.stem}-{seed}.toml' for seed in range(plays)]
    for seed, path in enumerate(paths):
        path.write_text(drawn_day(day.read_text(), Random(seed), apart))
    return paths


@click.command()
@click.option('--program', required=True, type=click.Path(path_type=Path))
@click.option('--site', required=True, help='File of the deployment.')
@click.option('--day', required=True, type=click.Path(path_type=Path))
@click.option('--way', default='now=HEAD', show_default=True)
@click.option('--plays', default=100, show_default=True)
@click.option('--apart', default=0.5, help='Seconds to either side.')
@click.option('--option', 'options', multiple=True, help='Of the program.')
@click.option('--jobs', default=3, show_default=True)
@click.option('--folder', required=True, type=click.Path(path_type=Path))
@click.option('--why', required=True)
def main(  # noqa: WPS211
    program: Path,
    site: str,
    day: Path,
    way: str,
    plays: int,
    apart: float,
    options: tuple[str, ...],
    jobs: int,
    folder: Path,
    why: str,
) -> None:
    """Play a day often and tell which rules broke."""
    chosen = read_way(way)
    outputs = folder / 'outputs'
    outputs.mkdir(parents=True, exist_ok=True)
    kept = PlayFile(folder / 'plays.jsonl')
    player = Player(program, options, why, kept, outputs)
    days = draw_days(day, folder / 'days', plays, apart)
    rows = [
        Play(chosen.name, site, str(path), seed)
        for seed, path in enumerate(days)
    ]
    with checkouts_of([chosen], folder, jobs) as trees:
        anyio.run(player.play_all, rows, trees)
    broken = [played for played in kept.read() if played.broken]
    click.echo(f'{len(kept.read())} plays, {len(broken)} broke a rule')
    for played in broken:
        click.echo(f'{played.play.key}: {played.broken}')
    for failure in player.failed:
        click.echo(f'not played: {failure}', err=True)


if __name__ == '__main__':
    main()
