"""Tests of the builds, which install nothing here."""

import os
import pathlib
import shutil
import subprocess

import pytest

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Answers the question for the platform and records all other calls.
INTERPRETER = """#!/bin/sh
if [ "$1" = -c ]; then
    echo "$PLATFORM"
    exit
fi
echo "$@" >> calls
if [ "$2" = venv ]; then
    rm -rf .venv
    mkdir -p .venv/bin
    cp "$0" .venv/bin/python
else
    mkdir -p target/deps
fi
"""
LAUNCHER_BUILDER = """#!/bin/sh
echo build_launcher "$@" >> calls
mkdir -p target/bin
"""


@pytest.fixture
def tree(tmp_path) -> pathlib.Path:
    """Return a source tree whose interpreter records its calls."""
    for name in ('pyproject.toml', 'setup.py', 'requirements.txt'):
        shutil.copy(ROOT / name, tmp_path)
    shutil.copy(ROOT / 'requirements-dev.txt', tmp_path)
    (tmp_path / 'script').mkdir()
    shutil.copy(ROOT / 'script' / 'setup', tmp_path / 'script')
    (tmp_path / 'sassafraswood').mkdir()
    (tmp_path / 'sassafraswood' / '__init__.py').touch()
    (tmp_path / 'deploy').mkdir()
    for name in ('build', 'launcher.c'):
        shutil.copy(ROOT / 'deploy' / name, tmp_path / 'deploy')
    (tmp_path / 'deploy' / 'build_launcher').write_text(LAUNCHER_BUILDER)
    (tmp_path / 'bin').mkdir()
    interpreter = tmp_path / 'bin' / 'python3'
    interpreter.write_text(INTERPRETER)
    interpreter.chmod(0o755)
    return tmp_path


def run(tree: pathlib.Path, script: str, platform: str) -> list[str]:
    """Run a script on a platform; return the calls that it made."""
    calls = tree / 'calls'
    calls.write_text('')
    subprocess.run(
        ['bash', script],
        cwd=tree,
        env={
            'PATH': f'{tree / "bin"}:{os.environ["PATH"]}',
            'PLATFORM': platform,
        },
        check=True,
    )
    return calls.read_text().splitlines()


# Guards against daemons and tests that do not start since the folder of a
# build came from a machine with another processor or interpreter.
@pytest.mark.parametrize(
    ('script', 'folder', 'steps'),
    [('deploy/build', 'target/deps', 3), ('script/setup', '.venv', 2)],
)
def test_build_of_another_platform_is_replaced(
    tree, script, folder, steps
) -> None:
    """All steps are done again, and only then."""
    assert len(run(tree, script, 'linux-x86_64')) == steps
    assert run(tree, script, 'linux-x86_64') == []
    foreign = tree / folder / 'foreign'
    foreign.touch()
    assert len(run(tree, script, 'linux-aarch64')) == steps
    assert not foreign.exists()
    assert run(tree, script, 'linux-aarch64') == []
