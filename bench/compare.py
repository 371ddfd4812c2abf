"""Compare ways of deciding in pairs, on the same days and seeds.

    python bench/compare.py --program P --folder F --why W \
        --way before=29c54c0 --way now=HEAD \
        --site S... --day trouble-1... --seed 1...

A way is a revision, and settings of the group ``experiments`` where it has
some: ``NAME=REVISION,SETTING=WAY``. Each play that has ended is kept, so a
comparison that was stopped goes on. The folder gets the plays, the differences
of each way from the first as a table and as JSON; the checkouts' entries of
the journal are gathered in the repository.
"""

from itertools import product
from pathlib import Path

import anyio
import click
import msgspec
from checkouts import checkouts_of, read_way
from pairs import differences, find_pairs, table
from plays import Play, Player, PlayFile


def plan(
    ways: tuple[str, ...],
    sites: tuple[str, ...],
    days: tuple[str, ...],
    seeds: tuple[int, ...],
) -> list[Play]:
    """Return all plays, those of a pair one after the other."""
    drawn = seeds or (None,)
    return [
        Play(way, site, day, seed)
        for site, day, seed, way in product(sites, days, drawn, ways)
    ]


def write_results(folder: Path, kept: PlayFile, ways: list[str]) -> str:
    """Write the differences from the first way and return their tables."""
    first, *others = ways
    played = kept.read()
    tables = []
    found = {}
    for other in others:
        pairs = find_pairs(played, first, other)
        if pairs:
            rows = differences(pairs)
            found[other] = rows
            tables.append(table(first, other, rows))
    text = '\n\n'.join(tables)
    (folder / 'differences.md').write_text(f'{text}\n')
    (folder / 'differences.json').write_bytes(msgspec.json.encode(found))
    return text


@click.command()
@click.option('--program', required=True, type=click.Path(path_type=Path))
@click.option('--way', 'ways', multiple=True, required=True)
@click.option('--site', 'sites', multiple=True, required=True)
@click.option('--day', 'days', multiple=True, required=True)
@click.option('--seed', 'seeds', multiple=True, type=int)
@click.option('--processor-time', is_flag=True, help='Count it.')
@click.option('--option', 'options', multiple=True, help='Of the program.')
@click.option('--jobs', default=2, show_default=True)
@click.option('--folder', required=True, type=click.Path(path_type=Path))
@click.option('--why', required=True)
def main(  # noqa: WPS211
    program: Path,
    ways: tuple[str, ...],
    sites: tuple[str, ...],
    days: tuple[str, ...],
    seeds: tuple[int, ...],
    options: tuple[str, ...],
    jobs: int,
    folder: Path,
    why: str,
    *,
    processor_time: bool,
) -> None:
    """Play pairs and tell by how much the ways differ."""
    chosen = [read_way(way) for way in ways]
    names = [way.name for way in chosen]
    uncounted = () if processor_time else ('--no-cpu',)
    kept = PlayFile(folder / 'plays.jsonl')
    player = Player(program, (*uncounted, *options), why, kept)
    plays = plan(tuple(names), sites, days, seeds)
    with checkouts_of(chosen, folder, jobs) as trees:
        anyio.run(player.play_all, plays, trees)
    click.echo(write_results(folder, kept, names))
    for failure in player.failed:
        click.echo(f'not played: {failure}', err=True)


if __name__ == '__main__':
    main()
