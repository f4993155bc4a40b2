"""Lines of code by part of the repository."""

import collections
from collections.abc import Mapping
import pathlib

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_DIRECTORIES = ('sassafraswood', 'lab', 'tests', 'script', 'examples', '.ci')
_SUFFIXES = frozenset({'.py', '.feature', '.sh', ''})
_DECISIONS = ('sassafraswood/coordination/', 'sassafraswood/state/')


def count_lines(text: str) -> int:
    """Return the lines that are not blank."""
    return sum(bool(line.strip()) for line in text.splitlines())


def part_of(path: str) -> str:
    """Return the part that a path from the root belongs to."""
    if path.startswith('tests/'):
        return 'tests'
    if path.startswith(_DECISIONS):
        return 'coordination and state'
    if path.startswith('sassafraswood/'):
        return 'rest of the package'
    return 'laboratory, scripts and examples'


def measure(root: pathlib.Path) -> collections.Counter[str]:
    """Return the lines of each part below root; caches are left out."""
    lines: collections.Counter[str] = collections.Counter()
    for directory in _DIRECTORIES:
        for path in sorted((root / directory).rglob('*')):
            if '__pycache__' in path.parts or not path.is_file():
                continue
            if path.suffix in _SUFFIXES:
                name = path.relative_to(root).as_posix()
                text = path.read_text(encoding='utf-8')
                lines[part_of(name)] += count_lines(text)
    return lines


def format_table(lines: Mapping[str, int]) -> str:
    """Return a line per part and one for the whole, with percentages."""
    whole = sum(lines.values())
    rows = [*sorted(lines.items()), ('whole', whole)]
    return '\n'.join(
        f'{name:<34}{count:>8}{100 * count / max(1, whole):>8.1f}%'
        for name, count in rows
    )


def main() -> None:
    """Print the shares."""
    print(format_table(measure(_ROOT)))


if __name__ == '__main__':
    main()
