"""Tests of the examples of the embeddable library."""

import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent


@pytest.mark.parametrize('name', ['embed_limiter', 'embed_admission'])
def test_example_runs(name: str) -> None:
    """Guards against examples that no longer fit the library."""
    done = subprocess.run(
        [sys.executable, f'examples/{name}.py'],
        cwd=ROOT,
        env={'PYTHONPATH': str(ROOT)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    assert done.stdout
