"""Tests of the examples of the embeddable library."""

import pathlib
import subprocess
import sys

import pytest

REPOSITORY_ROOT = pathlib.Path(__file__).resolve().parent.parent


@pytest.mark.parametrize('name', ['embed_limiter', 'embed_admission'])
def test_example_runs(name: str) -> None:
    """Guards against examples that fail with the current library."""
    completed = subprocess.run(
        [sys.executable, f'examples/{name}.py'],
        cwd=REPOSITORY_ROOT,
        env={'PYTHONPATH': str(REPOSITORY_ROOT)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == 0, completed.stderr
    assert completed.stdout
