"""Tests of the count of lines by part."""

import pathlib

from lab import shares


def test_parts_and_percentages(tmp_path: pathlib.Path) -> None:
    """Guards against lines that count for no part or for a wrong one."""
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
    lines = shares.measure(tmp_path)
    assert lines == {
        'tests': 2,
        'coordination and state': 3,
        'rest of the package': 1,
        'laboratory, scripts and examples': 2,
    }
    table = shares.format_table(lines).splitlines()
    assert table[-1].split() == ['whole', '8', '100.0%']
    assert table[-2].split() == ['tests', '2', '25.0%']
