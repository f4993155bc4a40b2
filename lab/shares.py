"""Counts the lines of code of each part of the repository."""

import collections
from collections.abc import Mapping
import pathlib

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_DIRECTORIES = ('sassafraswood', 'lab', 'tests', 'script', 'examples', '.ci')
_CODE_SUFFIXES = frozenset({'.py', '.feature', '.sh', ''})
_COORDINATION_DIRECTORIES = (
    'sassafraswood/coordination/',
    'sassafraswood/state/',
)


def count_lines(text: str) -> int:
    """Return the number of lines that are not blank."""
    return sum(bool(line.strip()) for line in text.splitlines())


def find_part(path: str) -> str:
    """Return the part of a file, given by its path relative to the root."""
    if path.startswith('tests/'):
        return 'tests'
    if path.startswith(_COORDINATION_DIRECTORIES):
        return 'coordination and state'
    if path.startswith('sassafraswood/'):
        return 'rest of the package'
    return 'laboratory, scripts and examples'


def count_by_part(root: pathlib.Path) -> collections.Counter[str]:
    """Return the lines of each part below a root, without bytecode caches."""
    line_counts: collections.Counter[str] = collections.Counter()
    for directory in _DIRECTORIES:
        for path in sorted((root / directory).rglob('*')):
            if '__pycache__' in path.parts or not path.is_file():
                continue
            if path.suffix in _CODE_SUFFIXES:
                name = path.relative_to(root).as_posix()
                text = path.read_text(encoding='utf-8')
                line_counts[find_part(name)] += count_lines(text)
    return line_counts


def format_table(line_counts: Mapping[str, int]) -> str:
    """Format the lines of each part and their sum, with percentages."""
    total = sum(line_counts.values())
    rows = [*sorted(line_counts.items()), ('whole', total)]
    return '\n'.join(
        f'{name:<34}{count:>8}{100 * count / max(1, total):>8.1f}%'
        for name, count in rows
    )


def main() -> None:
    """Print the lines and the share of each part."""
    print(format_table(count_by_part(_ROOT)))


if __name__ == '__main__':
    main()
