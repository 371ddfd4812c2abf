"""Lay out checkouts of the ways that are compared, one for each player."""

import subprocess
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from shutil import copyfile

#: Template of a node's settings, and the line of it that names ways.
TEMPLATE = Path('platform/settings.json.template')
EXPERIMENTS = '"experiments": {}'
JOURNAL = 'journal'

#: For each player, a checkout of each way by its name.
Trees = list[dict[str, Path]]


class WayError(Exception):
    """Say why a way cannot be laid out."""


@dataclass(frozen=True, slots=True)
class Way:
    """Name a revision and the ways that its decisions are to take."""

    name: str
    revision: str
    #: Settings of the group ``experiments``, by name.
    experiments: tuple[tuple[str, str], ...] = ()


def read_way(text: str) -> Way:
    """Read ``NAME=REVISION[,SETTING=WAY...]``.

    Raises:
        WayError: the text is no way.
    """
    name, found, rest = text.partition('=')
    revision, *settings = rest.split(',')
    if not (found and name and revision):
        raise WayError(f'no NAME=REVISION: {text!r}')
    pairs = [setting.partition('=') for setting in settings]
    if any(not (key and chosen) for key, _, chosen in pairs):
        raise WayError(f'no SETTING=WAY in {text!r}')
    return Way(name, revision, tuple((key, way) for key, _, way in pairs))


def template_with(template: str, way: Way) -> str:
    """Return a template of settings that names what a way chooses.

    Raises:
        WayError: the revision knows no experiments.
    """
    if not way.experiments:
        return template
    if EXPERIMENTS not in template:
        raise WayError(f'{way.revision} knows no experiments')
    rows = ', '.join(f'"{key}": "{chosen}"' for key, chosen in way.experiments)
    return template.replace(EXPERIMENTS, f'"experiments": {{ {rows} }}')


def lay_out(repository: Path, folder: Path, way: Way) -> Path:
    """Make a checkout of a way, or return the one that is there.

    Raises:
        WayError: there is no such revision, or no such experiment.
    """
    tree = folder / way.name
    if not tree.exists():
        run_git(repository, 'clone', '-q', '.', str(tree))
        run_git(tree, 'checkout', '-q', '--detach', way.revision)
    path = tree / TEMPLATE
    template = run_git(tree, 'show', f'{way.revision}:{TEMPLATE}')
    path.write_text(template_with(template, way))
    return tree


def lay_out_all(
    repository: Path,
    folder: Path,
    ways: Sequence[Way],
    players: int,
) -> Trees:
    """Make a checkout of each way for each player."""
    return [
        {
            way.name: lay_out(repository, folder / f'player-{number}', way)
            for way in ways
        }
        for number in range(players)
    ]


@contextmanager
def checkouts_of(
    ways: Sequence[Way],
    folder: Path,
    players: int,
) -> Iterator[Trees]:
    """Lay out checkouts of this repository; gather what plays leave there.

    Entries stay, also those of plays that fail or are stopped.
    """
    repository = Path.cwd()
    trees = lay_out_all(repository, folder, ways, players)
    try:
        yield trees
    finally:
        laid_out = [tree for row in trees for tree in row.values()]
        gather_journal(laid_out, repository)


def gather_journal(trees: Iterable[Path], repository: Path) -> int:
    """Copy the entries that plays left in checkouts; return how many.

    An entry is written as a play begins, and again as it ends.
    """
    new = [
        (tree / name, repository / name)
        for tree in trees
        for name in _left_in(tree)
        if not _is_same(tree / name, repository / name)
    ]
    for entry, place in new:
        place.parent.mkdir(parents=True, exist_ok=True)
        copyfile(entry, place)
    return len(new)


def _left_in(tree: Path) -> list[str]:
    """Return the entries of a checkout that its revision does not hold."""
    listed = run_git(tree, 'ls-tree', '-r', '--name-only', 'HEAD', JOURNAL)
    known = set(listed.splitlines())
    found = [
        path.relative_to(tree).as_posix()
        for path in (tree / JOURNAL).rglob('*')
        if path.is_file()
    ]
    return [name for name in found if name not in known]


def _is_same(entry: Path, place: Path) -> bool:
    return place.exists() and place.read_bytes() == entry.read_bytes()


def run_git(folder: Path, *words: str) -> str:
    """Run git in a folder.

    Raises:
        WayError: git failed.
    """
    folder.mkdir(parents=True, exist_ok=True)
    ended = subprocess.run(
        ['git', *words],
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
    )
    if ended.returncode:
        raise WayError(ended.stderr.strip())
    return ended.stdout
