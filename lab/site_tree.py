"""Collects the program and its installed packages for the single file."""

import importlib.metadata
import pathlib
import shutil
import sys

from packaging import requirements
from packaging import utils

_ROOT = pathlib.Path(__file__).resolve().parent.parent
# Tests and sources of extension modules are not used at run time.
_UNUSED_FOLDERS = frozenset({'__pycache__', 'tests', 'test'})
_UNUSED_SUFFIXES = frozenset(
    {'.c', '.cpp', '.h', '.pxd', '.pxi', '.pyc', '.pyi', '.pyx'}
)
# They name the machine of the build, or files that are left out.
_INSTALLER_FILES = frozenset(
    {'INSTALLER', 'RECORD', 'REQUESTED', 'direct_url.json'}
)


def main(target: str) -> None:
    """Fill an empty folder; the first argument of the program."""
    folder = pathlib.Path(target)
    for name in sorted(_closure(_pinned())):
        _copy_distribution(importlib.metadata.distribution(name), folder)
    shutil.copytree(
        _ROOT / 'sassafraswood',
        folder / 'sassafraswood',
        ignore=shutil.ignore_patterns('__pycache__'),
    )


def _pinned() -> list[str]:
    lines = (_ROOT / 'requirements.txt').read_text().splitlines()
    return [line.strip() for line in lines if line.strip()]


def _closure(wanted: list[str]) -> set[str]:
    """Return the names of the packages and all that they require."""
    found: set[str] = set()
    waiting = [requirements.Requirement(text) for text in wanted]
    while waiting:
        requirement = waiting.pop()
        name = utils.canonicalize_name(requirement.name)
        is_wanted = requirement.marker is None or (
            requirement.marker.evaluate({'extra': ''})
        )
        if name in found or not is_wanted:
            continue
        distribution = importlib.metadata.distribution(name)
        if not requirement.specifier.contains(distribution.version):
            raise SystemExit(
                f'{name} {distribution.version} is installed, '
                f'{requirement} is required; run script/setup'
            )
        found.add(name)
        for text in distribution.requires or []:
            waiting.append(requirements.Requirement(text))
    return found


def _copy_distribution(
    distribution: importlib.metadata.Distribution, folder: pathlib.Path
) -> None:
    for path in distribution.files or []:
        # Programs of the packages lie outside of their folder.
        if '..' in path.parts or _is_unused(pathlib.PurePath(path)):
            continue
        place = folder / path
        place.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(str(distribution.locate_file(path)), place)


def _is_unused(path: pathlib.PurePath) -> bool:
    if path.suffix in _UNUSED_SUFFIXES:
        return True
    if path.name in _INSTALLER_FILES:
        return True
    return not _UNUSED_FOLDERS.isdisjoint(path.parts)


if __name__ == '__main__':
    main(sys.argv[1])
