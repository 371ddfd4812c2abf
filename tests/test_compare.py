"""Compare ways in pairs from plays that are written down here."""

import math
from random import Random

import pytest
from checkouts import (
    EXPERIMENTS,
    Way,
    WayError,
    checkouts_of,
    gather_journal,
    lay_out,
    read_way,
    run_git,
    template_with,
)
from compare import plan
from often import draw_days, drawn_day
from pairs import ALL, differences, find_pairs, margin_of, table
from plays import Play, Played, PlayFile, read_report

DAY = 'at = 3.0, kind = "x", for_s = 4.0 },\n{ at = 0.1 }'
REPORT = """{
  "G": 0.5, "served": 0.9, "refused": 0.02, "failed": 0.01,
  "parts": [["whole day", 0.5, 0.9]],
  "prices": [["probes", 3.0, 0.01]],
  "breaks": {"LIMIT": [1, 2]},
  "classes": [{"name": "a", "worth": 0.8}],
  "ends": {"200": 7},
  "nodes": [{"role": "gateway", "cpu_mean": 0.1, "mem_peak_mb": 28.0}]
}"""


def played(way, worth, site='s', day='d', seed=1, **prices):
    """Return a play as it is kept."""
    play = Play(way, f'sites/{site}.toml', day, seed)
    broken = {'LIMIT': 1} if worth < 0.1 else {}
    return Played(play, worth, 0.9, 0, 0, {}, prices, broken, {}, {}, {}, {})


def test_a_report_is_read():
    found = read_report(Play('now', 's.toml', 'd'), REPORT)
    assert (found.worth, found.broken) == (0.5, {'LIMIT': 2})
    assert found.cores == {'gateway': 0.1}


def test_only_whole_pairs_count():
    rows = [played('a', 0.5), played('b', 0.6), played('a', 0.5, seed=2)]
    pairs = find_pairs(rows, 'a', 'b')
    assert [(one.worth, two.worth) for one, two in pairs] == [(0.5, 0.6)]


def test_the_difference_is_over_pairs():
    """Days differ by more than the ways do; their pairs agree."""
    rows = []
    for seed in range(10):
        day = seed / 20 + 0.2
        rows.append(played('a', day, seed=seed, probes=0.01))
        rows.append(played('b', day + 0.01, seed=seed, probes=0.03))
    found = differences(find_pairs(rows, 'a', 'b'))
    assert [row.site for row in found] == ['s', ALL]
    assert found[0].mean == pytest.approx(0.01)
    assert (found[0].above, found[0].below) == (10, 0)
    assert found[0].is_clear
    assert found[0].prices == {'probes': pytest.approx(0.02)}


def test_what_lies_in_the_noise_is_said_so():
    draw = Random(1)
    rows = []
    for seed in range(8):
        rows.append(played('a', 0.5, seed=seed))
        rows.append(played('b', 0.5 + draw.uniform(-0.05, 0.05), seed=seed))
    found = differences(find_pairs(rows, 'a', 'b'))[0]
    assert not found.is_clear
    assert '| noise |' in table('a', 'b', [found])


def test_broken_rules_are_counted_for_each_way():
    rows = [played('a', 0.5), played('b', 0.05)]
    found = differences(find_pairs(rows, 'a', 'b'))[0]
    assert (found.broken_first, found.broken_second) == (0, 1)


def test_one_pair_tells_nothing():
    assert math.isinf(margin_of([0.3]))


def test_a_play_that_ended_is_not_played_again(tmp_path):
    kept = PlayFile(tmp_path / 'plays.jsonl')
    assert not kept.read()
    for worth in (0.1, 0.2):
        kept.add(played('a', worth))
    assert [row.worth for row in kept.read()] == [0.1, 0.2]


def test_pairs_are_played_one_after_the_other():
    plays = plan(('a', 'b'), ('s.toml',), ('d',), (1, 2))
    named = [(row.way, row.seed) for row in plays]
    assert named == [('a', 1), ('b', 1), ('a', 2), ('b', 2)]


@pytest.mark.parametrize('text', ['', 'name', 'name=', 'a=HEAD,placing'])
def test_a_way_that_says_too_little(text):
    with pytest.raises(WayError):
        read_way(text)


def test_a_way_names_its_settings():
    way = read_way('a=HEAD,placing=anywhere')
    assert way == Way('a', 'HEAD', (('placing', 'anywhere'),))
    text = template_with(f'{{ {EXPERIMENTS} }}', way)
    assert '"placing": "anywhere"' in text
    with pytest.raises(WayError, match='knows no experiments'):
        template_with('{}', way)


def first_commit(repository):
    """Make a repository with a template of settings."""
    run_git(repository, 'init', '-q')
    template = repository / 'platform' / 'settings.json.template'
    template.parent.mkdir()
    template.write_text('{}')
    run_git(repository, 'add', '.')
    name = ('-c', 'user.name=n', '-c', 'user.email=e@example')
    run_git(repository, *name, 'commit', '-qm', 'first')


def test_checkouts_and_their_journal(tmp_path):
    repository = tmp_path / 'repository'
    first_commit(repository)
    tree = lay_out(repository, tmp_path / 'player', Way('now', 'HEAD'))
    entry = tree / 'journal' / 'kinds' / 'one.json'
    entry.parent.mkdir(parents=True)
    entry.write_text('{}')
    assert gather_journal([tree], repository) == 1
    assert (repository / 'journal' / 'kinds' / 'one.json').exists()
    assert not gather_journal([tree], repository)
    entry.write_text('{"ended": true}')
    assert gather_journal([tree], repository) == 1
    with pytest.raises(WayError):
        lay_out(repository, tmp_path / 'other', Way('no', 'no-such'))


def test_entries_stay_where_a_play_fails(tmp_path, monkeypatch):
    repository = tmp_path / 'repository'
    first_commit(repository)
    monkeypatch.chdir(repository)
    ways = [Way('now', 'HEAD')]
    with pytest.raises(OSError, match='stopped'):
        with checkouts_of(ways, tmp_path / 'players', 1) as trees:
            entry = trees[0]['now'] / 'journal' / 'one.json'
            entry.parent.mkdir()
            entry.write_text('{}')
            raise OSError('stopped')
    assert (repository / 'journal' / 'one.json').exists()


def test_moments_are_drawn_apart(tmp_path):
    drawn = drawn_day(DAY, Random(3), 0.5)
    assert 'for_s = 4.0' in drawn
    assert drawn != DAY
    assert drawn == drawn_day(DAY, Random(3), 0.5)
    day = tmp_path / 'day.toml'
    day.write_text(DAY)
    paths = draw_days(day, tmp_path / 'days', 3, 0.5)
    assert len({path.read_text() for path in paths}) == 3
