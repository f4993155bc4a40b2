"""Tests of the lines of code of each part."""

import pathlib

from lab import shares


def test_parts_and_percentages(tmp_path: pathlib.Path) -> None:
    """Guards against lines that are left out or counted for a wrong part."""
    files = {
        'sassafraswood/coordination/a.py': 'a\n\nb\n',
        'sassafraswood/state/b.py': 'a\n',
        'sassafraswood/daemon.py': 'a\n',
        'tests/decisions/features/c.feature': 'a\n  b\n\n',
        'tests/__pycache__/c.py': 'a\n',
        'script/test': 'a\n',
        'lab/d.py': 'a\n',
        'docs/e.md': 'a\n',
    }
    for name, text in files.items():
        path = tmp_path / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding='utf-8')
    line_counts = shares.count_by_part(tmp_path)
    assert line_counts == {
        'tests': 2,
        'coordination and state': 3,
        'rest of the package': 1,
        'laboratory, scripts and examples': 2,
    }
    rows = shares.format_table(line_counts).splitlines()
    assert rows[-1].split() == ['whole', '8', '100.0%']
    assert rows[-2].split() == ['tests', '2', '25.0%']
