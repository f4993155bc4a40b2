"""Copies the program and its dependencies into a directory.

The single executable file is built from this directory.
"""

import importlib.metadata
import pathlib
import shutil
import sys

from packaging import requirements
from packaging import utils

_ROOT = pathlib.Path(__file__).resolve().parent.parent
# Tests, type stubs and sources of extension modules are not used at run time.
_UNUSED_DIRECTORIES = frozenset({'__pycache__', 'tests', 'test'})
_UNUSED_SUFFIXES = frozenset(
    {'.c', '.cpp', '.h', '.pxd', '.pxi', '.pyc', '.pyi', '.pyx'}
)
# These files describe the installation on the build machine, or list files
# that are not copied.
_INSTALLATION_FILES = frozenset(
    {'INSTALLER', 'RECORD', 'REQUESTED', 'direct_url.json'}
)


def main(target: str) -> None:
    """Copy all packages into an empty directory.

    Args:
        target: Path of the directory.
    """
    directory = pathlib.Path(target)
    for name in sorted(_resolve_dependencies(_read_pinned_requirements())):
        _copy_distribution(importlib.metadata.distribution(name), directory)
    shutil.copytree(
        _ROOT / 'sassafraswood',
        directory / 'sassafraswood',
        ignore=shutil.ignore_patterns('__pycache__'),
    )


def _read_pinned_requirements() -> list[str]:
    lines = (_ROOT / 'requirements.txt').read_text().splitlines()
    return [line.strip() for line in lines if line.strip()]


def _resolve_dependencies(requirement_lines: list[str]) -> set[str]:
    """Return the names of the required packages and of their dependencies.

    Raises:
        SystemExit: An installed version does not satisfy a requirement.
    """
    resolved_names: set[str] = set()
    pending = [requirements.Requirement(line) for line in requirement_lines]
    while pending:
        requirement = pending.pop()
        name = utils.canonicalize_name(requirement.name)
        is_required = requirement.marker is None or (
            requirement.marker.evaluate({'extra': ''})
        )
        if name in resolved_names or not is_required:
            continue
        distribution = importlib.metadata.distribution(name)
        if not requirement.specifier.contains(distribution.version):
            raise SystemExit(
                f'{name} {distribution.version} is installed, but '
                f'{requirement} is required; run script/setup'
            )
        resolved_names.add(name)
        for text in distribution.requires or []:
            pending.append(requirements.Requirement(text))
    return resolved_names


def _copy_distribution(
    distribution: importlib.metadata.Distribution, directory: pathlib.Path
) -> None:
    for path in distribution.files or []:
        # Console scripts are installed outside of site-packages.
        if '..' in path.parts or _is_unused(pathlib.PurePath(path)):
            continue
        destination = directory / path
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(str(distribution.locate_file(path)), destination)


def _is_unused(path: pathlib.PurePath) -> bool:
    if path.suffix in _UNUSED_SUFFIXES:
        return True
    if path.name in _INSTALLATION_FILES:
        return True
    return not _UNUSED_DIRECTORIES.isdisjoint(path.parts)


if __name__ == '__main__':
    main(sys.argv[1])
