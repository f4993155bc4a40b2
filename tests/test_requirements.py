"""Tests of the table of requirements and of its scenarios."""

from collections.abc import Sequence
import pathlib
import re
from typing import NamedTuple

import pytest
from pytest_bdd import feature

_TESTS = pathlib.Path(__file__).parent
_DOCS = _TESTS.parent / 'docs'
_REQUIREMENTS = [f'R{number}' for number in range(1, 13)]


class Row(NamedTuple):
    """A row of the table; '-' stands for an empty column."""

    id: str
    file: str
    scenario: str
    showed: str
    not_proved: str


def _cells(text: str, columns: int) -> list[list[str]]:
    """Return the rows of all tables with that many columns, heads too."""
    rows = []
    for line in text.splitlines():
        if line.startswith('|') and not line.startswith('| ---'):
            cells = [cell.strip() for cell in line.strip('|').split('|')]
            if len(cells) == columns:
                rows.append(cells)
    return rows


def _failures() -> dict[str, str]:
    """Return the entries of "What fails" by their names in the table."""
    text = (_DOCS / 'requirements.md').read_text(encoding='utf-8')
    return {name: entry for name, entry in _cells(text, 2)[1:]}


def _designed_failures() -> list[str]:
    """Return the entries of "What fails" of the design."""
    text = (_DOCS / 'design.md').read_text(encoding='utf-8')
    part = text.split('What fails, ')[1].split('Where it runs:')[0]
    entries = re.findall(r'^- (.*?)[;.]$', part, re.MULTILINE | re.DOTALL)
    return [' '.join(entry.split()) for entry in entries]


def _rows(text: str) -> list[Row]:
    return [Row(*cells) for cells in _cells(text, 5)[1:]]


def _scenarios(file: str) -> set[str]:
    """Return the names of the scenarios of a file, as pytest-bdd reads it."""
    if not (_TESTS / file).is_file():
        return set()
    return set(feature.get_feature(str(_TESTS), file).scenarios)


def _problems(rows: Sequence[Row], required: Sequence[str]) -> list[str]:
    """Return what is wrong with the table."""
    found = {row.id for row in rows}
    problems = [f'{name}: no row' for name in required if name not in found]
    for row in rows:
        name = f'{row.id} {row.file} {row.scenario}'
        if row.id not in required:
            problems.append(f'{name}: unknown id')
        empty = {'', '-'}
        if row.file in empty or row.scenario in empty:
            if {row.file, row.scenario} - empty:
                problems.append(f'{name}: half a scenario')
            elif row.not_proved in empty:
                problems.append(f'{name}: neither scenario nor statement')
        elif row.scenario not in _scenarios(row.file):
            problems.append(f'{name}: no such scenario')
        elif row.showed in empty:
            problems.append(f'{name}: not said what it showed')
    return problems


def _read() -> list[Row]:
    return _rows((_DOCS / 'requirements.md').read_text(encoding='utf-8'))


def test_table_is_sound() -> None:
    """Guards against a table that claims more than the scenarios show."""
    assert _problems(_read(), [*_REQUIREMENTS, *_failures()]) == []


def test_every_failure_of_the_design_has_a_name() -> None:
    """Guards against a failure that no row can name."""
    assert len(_designed_failures()) >= 8
    assert list(_failures().values()) == _designed_failures()


def test_every_row_has_five_columns() -> None:
    """Guards against a line that the check would pass over."""
    text = (_DOCS / 'requirements.md').read_text(encoding='utf-8')
    lines = [line for line in text.splitlines() if line.startswith('|')]
    read = len(_cells(text, 2)) + len(_cells(text, 5))
    assert read == sum(not line.startswith('| ---') for line in lines)


def test_every_scenario_on_decision_objects_has_a_row() -> None:
    """Guards against a scenario that the table leaves out."""
    named = {(row.file, row.scenario) for row in _read()}
    for path in (_TESTS / 'decisions' / 'features').glob('*.feature'):
        file = path.relative_to(_TESTS).as_posix()
        for scenario in _scenarios(file):
            assert (file, scenario) in named


@pytest.mark.parametrize(
    ('row', 'problem'),
    [
        (
            '| R1 | decisions/features/quota.feature | None | x | - |',
            'no such',
        ),
        ('| R1 | scenarios/none.feature | A chain | x | - |', 'no such'),
        ('| R1 | - | - | - | - |', 'neither'),
        ('| R1 | - | - | x | |', 'neither'),
        ('| R1 | decisions/features/quota.feature | - | x | - |', 'half'),
        ('| R2 | - | - | - | everything |', 'R1: no row'),
        ('| R13 | - | - | - | everything |', 'unknown id'),
    ],
)
def test_check_notices_wrong_rows(row: str, problem: str) -> None:
    """Guards against a check that lets every table pass."""
    head = '| id | feature file | scenario | showed | not yet proved |\n'
    problems = _problems(_rows(head + row), ['R1', 'R2'])
    assert any(problem in text for text in problems)
