"""Checks that docs/requirements.md matches the scenarios and the design."""

from collections.abc import Sequence
import pathlib
import re
from typing import NamedTuple

import pytest
from pytest_bdd import feature

_TESTS = pathlib.Path(__file__).parent
_DOCS = _TESTS.parent / 'docs'
_REQUIREMENTS = [f'R{number}' for number in range(1, 13)]


class RequirementRow(NamedTuple):
    """A row of the table of requirements; an empty column holds '-'."""

    id: str
    file: str
    scenario: str
    showed: str
    not_proved: str


def _table_rows(text: str, columns: int) -> list[list[str]]:
    """Return the rows, with headings, of all tables with so many columns."""
    rows = []
    for line in text.splitlines():
        if line.startswith('|') and not line.startswith('| ---'):
            cells = [cell.strip() for cell in line.strip('|').split('|')]
            if len(cells) == columns:
                rows.append(cells)
    return rows


def _named_failures() -> dict[str, str]:
    """Return the descriptions of failures by name, from the requirements."""
    text = (_DOCS / 'requirements.md').read_text(encoding='utf-8')
    return {name: entry for name, entry in _table_rows(text, 2)[1:]}


def _design_failures() -> list[str]:
    """Return the list entries under "What fails" in the design."""
    text = (_DOCS / 'design.md').read_text(encoding='utf-8')
    part = text.split('What fails, ')[1].split('Where it runs:')[0]
    entries = re.findall(r'^- (.*?)[;.]$', part, re.MULTILINE | re.DOTALL)
    return [' '.join(entry.split()) for entry in entries]


def _requirement_rows(text: str) -> list[RequirementRow]:
    return [RequirementRow(*cells) for cells in _table_rows(text, 5)[1:]]


def _scenario_names(file: str) -> set[str]:
    """Return the names of the scenarios in a feature file."""
    if not (_TESTS / file).is_file():
        return set()
    return set(feature.get_feature(str(_TESTS), file).scenarios)


def _table_errors(
    rows: Sequence[RequirementRow], required: Sequence[str]
) -> list[str]:
    """Return a description of each error in the table."""
    found = {row.id for row in rows}
    errors = [f'{name}: no row' for name in required if name not in found]
    for row in rows:
        name = f'{row.id} {row.file} {row.scenario}'
        if row.id not in required:
            errors.append(f'{name}: unknown id')
        empty = {'', '-'}
        if row.file in empty or row.scenario in empty:
            if {row.file, row.scenario} - empty:
                errors.append(f'{name}: half a scenario')
            elif row.not_proved in empty:
                errors.append(f'{name}: neither scenario nor statement')
        elif row.scenario not in _scenario_names(row.file):
            errors.append(f'{name}: no such scenario')
        elif row.showed in empty:
            errors.append(f'{name}: not said what it showed')
    return errors


def _read_requirements() -> list[RequirementRow]:
    return _requirement_rows(
        (_DOCS / 'requirements.md').read_text(encoding='utf-8')
    )


def test_table_is_sound() -> None:
    """Guards against a table that claims more than the scenarios show."""
    assert (
        _table_errors(
            _read_requirements(), [*_REQUIREMENTS, *_named_failures()]
        )
        == []
    )


def test_every_failure_of_the_design_has_a_name() -> None:
    """Guards against a failure in the design that no row can refer to."""
    assert len(_design_failures()) >= 8
    assert list(_named_failures().values()) == _design_failures()


def test_every_row_has_five_columns() -> None:
    """Guards against a table line that the checks would ignore."""
    text = (_DOCS / 'requirements.md').read_text(encoding='utf-8')
    lines = [line for line in text.splitlines() if line.startswith('|')]
    read_count = len(_table_rows(text, 2)) + len(_table_rows(text, 5))
    assert read_count == sum(not line.startswith('| ---') for line in lines)


def test_every_scenario_on_decision_objects_has_a_row() -> None:
    """Guards against a scenario that is missing from the table."""
    named = {(row.file, row.scenario) for row in _read_requirements()}
    for path in (_TESTS / 'decisions' / 'features').glob('*.feature'):
        file = path.relative_to(_TESTS).as_posix()
        for scenario in _scenario_names(file):
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
    """Guards against a check that accepts every table."""
    head = '| id | feature file | scenario | showed | not yet proved |\n'
    errors = _table_errors(_requirement_rows(head + row), ['R1', 'R2'])
    assert any(problem in text for text in errors)
