"""Play days of deployments with the users' program, several at once.

Each play that has ended is a line of a file, so a row of plays that was
stopped goes on where it was.
"""

import json
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory

import anyio
import msgspec

#: Seconds for one play; a day of the largest fleets takes some minutes.
PLAY_SECONDS = 1200


class PlayFailedError(Exception):
    """Say that the program ended without a report."""


class Play(msgspec.Struct, frozen=True):
    """Name a play: which way, of which day, with which seed."""

    way: str
    #: Path of the file of the deployment, as seen from a checkout.
    site: str
    #: Name of one of its days, or the path of a file of a day.
    day: str
    #: None: the day's own.
    seed: int | None = None

    @property
    def key(self) -> str:
        """Return the name under which the play is kept."""
        site, day = Path(self.site).stem, Path(self.day).stem
        return f'{self.way}/{site}/{day}/{self.seed}'

    @property
    def pair(self) -> tuple[str, str, int | None]:
        """Return what a play of another way shares with this one."""
        return Path(self.site).stem, Path(self.day).stem, self.seed


class Played(msgspec.Struct, frozen=True):
    """Hold what is kept of one play."""

    play: Play
    #: What the callers' value comes to, less prices.
    worth: float
    served: float
    refused: float
    failed: float
    #: Parts of the worth before prices, and prices, by name.
    parts: dict[str, float]
    prices: dict[str, float]
    #: Broken rules and how often.
    broken: dict[str, int]
    #: Value by kind of request, and how attempts ended.
    classes: dict[str, float]
    ends: dict[str, int]
    #: Mean part of a core, and most megabytes, by role.
    cores: dict[str, float]
    megabytes: dict[str, float]


def read_report(play: Play, source: str) -> Played:
    """Return what is kept of a report."""
    report = json.loads(source)
    roles = report['nodes']
    return Played(
        play,
        worth=report['G'],
        served=report['served'],
        refused=report['refused'],
        failed=report['failed'],
        parts={name: worth for name, _, worth in report['parts']},
        prices={name: price for name, _, price in report['prices']},
        broken={rule: len_of(rows) for rule, rows in report['breaks'].items()},
        classes={row['name']: row['worth'] for row in report['classes']},
        ends=report['ends'],
        cores={row['role']: row['cpu_mean'] for row in roles},
        megabytes={row['role']: row['mem_peak_mb'] for row in roles},
    )


def len_of(rows: object) -> int:
    """Return how often a rule was broken: a count, or rows of it."""
    return rows if isinstance(rows, int) else len(rows)


@dataclass(frozen=True, slots=True)
class PlayFile:
    """Hold plays in a file, one a line."""

    path: Path

    def read(self) -> list[Played]:
        """Return what was played."""
        if not self.path.exists():
            return []
        lines = self.path.read_bytes().splitlines()
        return [msgspec.json.decode(line, type=Played) for line in lines]

    def add(self, played: Played) -> None:
        """Keep one more play."""
        with self.path.open('ab') as lines:
            lines.write(msgspec.json.encode(played) + b'\n')


@dataclass(slots=True)
class Player:
    """Run the program in checkouts, each of which plays one day at a time."""

    program: Path
    options: Sequence[str]
    why: str
    plays: PlayFile
    #: Folder for what the program prints; None keeps none.
    outputs: Path | None = None
    failed: list[str] = field(default_factory=list)

    async def play_all(
        self,
        plays: Sequence[Play],
        trees: Sequence[dict[str, Path]],
    ) -> None:
        """Play what was not played yet.

        ``trees`` holds, for each of those that play at once, a checkout of
        each way.
        """
        known = {played.play.key for played in self.plays.read()}
        left = iter([play for play in plays if play.key not in known])
        async with anyio.create_task_group() as tasks:
            for checkouts in trees:
                tasks.start_soon(self._play_in_turn, left, checkouts)

    async def _play_in_turn(self, left, checkouts: dict[str, Path]) -> None:
        for play in left:
            try:
                played = await self._play(play, checkouts[play.way])
            except (PlayFailedError, TimeoutError) as exc:
                self.failed.append(f'{play.key}: {exc!r}')
                continue
            self.plays.add(played)

    async def _play(self, play: Play, tree: Path) -> Played:
        with TemporaryDirectory() as folder:
            report = Path(folder) / 'report.json'
            with anyio.fail_after(PLAY_SECONDS):
                ended = await anyio.run_process(
                    self._command(play, report),
                    cwd=tree,
                    check=False,
                )
            self._keep_output(play, ended.stdout + ended.stderr)
            if not report.exists():
                raise PlayFailedError(ended.stderr.decode()[-300:])
            return read_report(play, report.read_text())

    def _command(self, play: Play, report: Path) -> list[str]:
        seed = () if play.seed is None else ('--seed', str(play.seed))
        return [
            str(self.program),
            'run',
            play.site,
            play.day,
            *seed,
            *self.options,
            '--report',
            str(report),
            '--why',
            self.why,
        ]

    def _keep_output(self, play: Play, output: bytes) -> None:
        if self.outputs is None:
            return
        name = play.key.replace('/', '--')
        (self.outputs / f'{name}.txt').write_bytes(output)
