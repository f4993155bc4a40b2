"""Tests of the story of a request."""

import json
import pathlib

import pytest

from sassafraswood.cli import main

LINES = [
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


def test_story_includes_calls_in_order(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Lines of several daemons, a prefix and cut lines are no obstacle."""
    path = tmp_path / 'daemons.log'
    texts = [f'  1.2 d1 {json.dumps(line)}' for line in LINES]
    path.write_text('\n'.join([*texts, '{"at":1,"dae', 'other']))
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
    """No output would look like a request without trouble."""
    path = tmp_path / 'daemons.log'
    path.write_text('')
    assert main.run_command(['explain', 'aa', str(path)]) == 2
    assert 'no line names aa' in capsys.readouterr().err


def test_platform_settings_are_checked(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Every problem names its path."""
    path = tmp_path / 'boot.toml'
    path.write_text('node = "a"\n')
    assert main.run_command(['check', 'platform-settings', str(path)]) == 2
    errors = capsys.readouterr().err
    assert 'listen.outbound: found nothing' in errors
    assert 'platform.address: found nothing' in errors
