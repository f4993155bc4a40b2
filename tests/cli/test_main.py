"""Tests of the command line as a whole."""

import json
import pathlib
import re

import pytest

from sassafraswood.cli import exit_codes
from sassafraswood.cli import main
from sassafraswood import const

_COMMANDS = [
    'run',
    'check settings',
    'check document',
    'schema document',
    'schema settings',
    'publish',
    'key generate',
    'key grant',
    'key withdraw',
    'partition reclaim',
    'status',
    'fleet',
    'curve-keys',
    'version',
]


@pytest.mark.parametrize('command', ['', *_COMMANDS])
def test_help_shows_an_example(
    command: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against commands whose help shows no example."""
    assert main.run_command([*command.split(), '--help']) == 0
    text = capsys.readouterr().out
    assert f'Example: sassafraswood {command}'.strip() in text


@pytest.mark.parametrize(
    'arguments',
    [['no-such'], ['check'], ['publish', 'f'], ['status', '--no-such']],
)
def test_usage_errors_are_bad_input(
    arguments: list[str],
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against usage errors with the exit code of a crash."""
    monkeypatch.delenv('SASSAFRASWOOD_DAEMON', raising=False)
    assert main.run_command(arguments) == 2
    assert capsys.readouterr().err


def test_usage_error_is_one_line(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against errors that scripts cannot parse line by line."""
    assert main.run_command(['version', '--no-such']) == 2
    assert re.fullmatch('error: .*\n', capsys.readouterr().err)


def test_run_does_not_start_with_invalid_settings(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a daemon that starts with invalid settings."""
    path = tmp_path / 'settings.json'
    path.write_text('{}')
    assert main.run_command(['run', str(path)]) == 2
    assert len(capsys.readouterr().err.splitlines()) > 5


def test_version(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a version that differs from the one of the package."""
    assert main.run_command(['version', '--json']) == 0
    assert json.loads(capsys.readouterr().out) == {'version': const.VERSION}
    project = pathlib.Path('pyproject.toml').read_text()
    assert f'version = "{const.VERSION}"' in project


def test_exit_codes_are_documented() -> None:
    """Guards against exit codes that the documents do not explain."""
    page = pathlib.Path('docs/operators/README.md').read_text()
    rows = re.findall(r'^\| (\d+) \|', page, re.MULTILINE)
    assert {int(code) for code in exit_codes.ExitCode} <= set(map(int, rows))
