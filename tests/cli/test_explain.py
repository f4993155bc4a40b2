"""Tests of the log lines printed for a request, and of settings checks."""

import json
import pathlib

import pytest

from sassafraswood.cli import main

LOG_LINES = [
    {
        'at': 3.0,
        'daemon': 'd1',
        'event': 'upstream_error',
        'request': 'aa',
        'parent': '',
        'status': 500,
    },
    {
        'at': 2.0,
        'daemon': 'd2',
        'event': 'failed',
        'request': 'bb',
        'parent': 'aa',
        'reason': 'timeout',
    },
    {
        'at': 1.0,
        'daemon': 'd3',
        'event': 'upstream_failed',
        'attempt': 'bb',
        'reason': 'connection_broken',
    },
    {'at': 0.5, 'daemon': 'd3', 'event': 'refused', 'request': 'cc'},
]


def test_lines_of_calls_are_included_in_order(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against lines lost to a prefix or to a truncated line.

    A log collector prefixes lines, and a process may end while it writes one.
    """
    path = tmp_path / 'daemons.log'
    prefixed_lines = [f'  1.2 d1 {json.dumps(line)}' for line in LOG_LINES]
    path.write_text('\n'.join([*prefixed_lines, '{"at":1,"dae', 'other']))
    text = path.read_text().replace('{"at": ', '{"at":')
    path.write_text(text)
    assert main.run_command(['explain', 'aa', str(path)]) == 0
    events = [
        line.split()[2] for line in capsys.readouterr().out.split('\n') if line
    ]
    assert events == ['upstream_failed', 'failed', 'upstream_error']


def test_unknown_request_is_an_error(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against empty output, which suggests a request without errors."""
    path = tmp_path / 'daemons.log'
    path.write_text('')
    assert main.run_command(['explain', 'aa', str(path)]) == 2
    assert 'no line names aa' in capsys.readouterr().err


def test_platform_settings_are_checked(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against problems that do not name the path of the setting."""
    path = tmp_path / 'boot.toml'
    path.write_text('node = "a"\n')
    assert main.run_command(['check', 'platform-settings', str(path)]) == 2
    errors = capsys.readouterr().err
    assert 'listen.outbound: found nothing' in errors
    assert 'platform.address: found nothing' in errors
