"""Parse and match label selectors.

Terms are separated by commas and must all match: ``key=value``, ``key!=value``,
``key in (a, b)``, ``key notin (a, b)``, ``key`` (exists), ``!key`` (does not
exist). An empty selector matches everything. ``!=`` and ``notin`` also match
objects without the key.
"""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass

Labels = Mapping[str, str]
Term = Callable[[Labels], bool]

_WORD = r'[A-Za-z0-9]([A-Za-z0-9_./-]*[A-Za-z0-9])?'
_SPACE = re.compile(r'\s*')
_KEY = re.compile(rf'(?P<key>{_WORD})')
_ABSENT = re.compile(rf'!\s*(?P<key>{_WORD})')
_EQUALITY = re.compile(rf'\s*(?P<op>==|=|!=)\s*(?P<word>{_WORD})')
_SET = re.compile(r'\s+(?P<op>in|notin)\s*\((?P<words>[^()]*)\)')
_VALUE_ONLY = re.compile(rf'{_WORD}\Z')


@dataclass(frozen=True)
class SelectorError(Exception):
    """Report where a selector cannot be parsed; columns start at one."""

    column: int
    expected: str

    def __str__(self) -> str:
        """Return the column and what was expected there."""
        return f'column {self.column}: expected {self.expected}'


@dataclass(frozen=True, slots=True)
class Selector:
    """Hold the terms of a parsed selector."""

    text: str
    terms: tuple[Term, ...]

    def matches(self, labels: Labels) -> bool:
        """Return whether the labels match all terms."""
        return all(term(labels) for term in self.terms)


def parse_selector(text: str) -> Selector:
    """Parse a selector, or raise SelectorError."""
    terms: list[Term] = []
    position = _skip_space(text, 0)
    while position < len(text):
        term, position = _parse_term(text, position)
        terms.append(term)
        position = _skip_space(text, position)
        if position == len(text):
            break
        if text[position] != ',':
            raise SelectorError(position + 1, 'a comma or the end')
        position = _skip_space(text, position + 1)
        if position == len(text):
            raise SelectorError(position + 1, 'a term after the comma')
    return Selector(text, tuple(terms))


def _skip_space(text: str, position: int) -> int:
    space = _SPACE.match(text, position)
    return position if space is None else space.end()


def _parse_term(text: str, position: int) -> tuple[Term, int]:
    absent = _ABSENT.match(text, position)
    if absent is not None:
        return _absent_term(absent['key']), absent.end()
    key = _KEY.match(text, position)
    if key is None:
        raise SelectorError(position + 1, 'a label key')
    equality = _EQUALITY.match(text, key.end())
    if equality is not None:
        operands = frozenset((equality['word'],))
        is_equal = equality['op'] != '!='
        return _set_term(key['key'], operands, wanted=is_equal), equality.end()
    set_match = _SET.match(text, key.end())
    if set_match is not None:
        operands = _parse_values(set_match)
        is_in = set_match['op'] == 'in'
        return _set_term(key['key'], operands, wanted=is_in), set_match.end()
    _check_key_end(text, key.end())
    return _present_term(key['key']), key.end()


def _check_key_end(text: str, position: int) -> None:
    after = _skip_space(text, position)
    if after < len(text) and text[after] != ',':
        raise SelectorError(after + 1, 'an operator, a comma or the end')


def _parse_values(set_match: re.Match[str]) -> frozenset[str]:
    column = set_match.start('words')
    label_values = []
    for item in set_match['words'].split(','):
        label_value = item.strip()
        if _VALUE_ONLY.match(label_value) is None:
            raise SelectorError(column + 1, 'a label value')
        label_values.append(label_value)
        column += len(item) + 1
    return frozenset(label_values)


def _set_term(key: str, label_values: frozenset[str], *, wanted: bool) -> Term:
    def term(labels: Labels) -> bool:
        return (labels.get(key) in label_values) is wanted

    return term


def _present_term(key: str) -> Term:
    def term(labels: Labels) -> bool:
        return key in labels

    return term


def _absent_term(key: str) -> Term:
    def term(labels: Labels) -> bool:
        return key not in labels

    return term
