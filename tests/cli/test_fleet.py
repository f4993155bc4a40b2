"""Tests of the commands that show the state of a daemon and the fleet."""

import json

import pytest

from sassafraswood.cli import main
from tests.cli import conftest

_STATUS = {
    'version': '0.1.0',
    'member': {'daemon_id': 'd-1', 'service': 'status', 'slots': 45},
    'next_offset': 7,
    'is_log_readable': False,
    'log_read_age_s': 1.234,
    'documents': [{'service': 'status', 'revision': 4, 'offset': 6}],
    'partitions': [
        {
            'partition': 0,
            'term': 2,
            'owner': 'd-1',
            'guardian': None,
            'is_held': True,
        }
    ],
    'counts': {'refused.overloaded': 3},
    'field_of_a_newer_daemon': 1,
}
_FLEET = {
    'members': [{'daemon_id': 'd-1', 'is_silent': True}],
    'documents': [],
}


def test_json_includes_all_fields(
    operator_server: conftest.OperatorServer,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against JSON output without the fields of a newer daemon."""
    for name, value in (('status', _STATUS), ('fleet', _FLEET)):
        operator_server.respond(f'/operator/{name}', (200, value))
        assert main.run_command([name, '--json']) == 0
        assert json.loads(capsys.readouterr().out) == value


def test_text_shows_one_row_for_each_item(
    operator_server: conftest.OperatorServer,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a table that omits that the log is not readable."""
    operator_server.respond('/operator/status', (200, _STATUS))
    operator_server.respond('/operator/fleet', (200, _FLEET))
    assert main.run_command(['status']) == 0
    rows = [line.split() for line in capsys.readouterr().out.splitlines()]
    assert ['is_log_readable', 'no'] in rows
    assert ['0', '2', 'd-1', '-', 'yes'] in rows
    assert ['refused.overloaded', '3'] in rows
    assert main.run_command(['fleet']) == 0
    rows = [line.split() for line in capsys.readouterr().out.splitlines()]
    assert ['d-1', '-', '-', '-', '-', '-', 'yes'] in rows
