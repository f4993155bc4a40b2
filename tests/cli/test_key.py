"""Tests of the commands for the keys of callers."""

import hashlib
import json
import pathlib
import stat

import pytest

from sassafraswood.cli import main
from tests.cli import conftest

_ACCEPTED = (
    200,
    {'status': 'accepted', 'revision': 0, 'detail': '', 'offset': 3},
)
_NONE_BEHIND = (200, {'behind': []})


def test_generated_key_can_be_granted_from_its_file(
    operator_server: conftest.OperatorServer,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against differing hashes, and files that leak the key.

    A generated key is neither printed nor readable by other users.
    """
    operator_server.respond('/operator/keys/grant', _ACCEPTED)
    operator_server.respond('/operator/behind', _NONE_BEHIND)
    path = tmp_path / 'partner.key'
    arguments = ['key', 'generate', '--json', '--key-file', str(path)]
    assert main.run_command(arguments) == 0
    result = json.loads(capsys.readouterr().out)
    key = path.read_text().strip()
    assert result == {'sha256': hashlib.sha256(key.encode()).hexdigest()}
    assert stat.S_IMODE(path.stat().st_mode) == 0o600
    assert main.run_command(arguments) == 2
    assert path.read_text().strip() == key
    grant = ['key', 'grant', 'partner-1', 'partner', '--key-file', str(path)]
    assert main.run_command(grant) == 0
    body = operator_server.requests_to('/operator/keys/grant')[0].body
    assert body['key_sha256'] == result['sha256']
    assert (body['key_id'], body['workspace']) == ('partner-1', 'partner')
    captured = capsys.readouterr()
    assert key not in captured.out + captured.err + json.dumps(body)


def test_printed_keys_differ(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against keys from a source that is not random."""
    keys = set()
    for _ in range(3):
        assert main.run_command(['key', 'generate', '--json']) == 0
        result = json.loads(capsys.readouterr().out)
        digest = hashlib.sha256(result['key'].encode()).hexdigest()
        assert result['sha256'] == digest
        keys.add(result['key'])
    assert len(keys) == 3


@pytest.mark.parametrize(
    'arguments',
    [
        ['key', 'grant', 'k', 'w'],
        ['key', 'grant', 'k', 'w', '--sha256', 'a-key-given-by-mistake'],
        ['key', 'grant', 'K', 'w', '--sha256', '0' * 64],
        ['key', 'grant', 'k', 'W 1', '--sha256', '0' * 64],
        ['key', 'withdraw', 'K'],
    ],
)
def test_wrong_names_and_hashes_are_not_sent(
    operator_server: conftest.OperatorServer,
    arguments: list[str],
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against grants that no key can use.

    A key given in place of its hash must not appear in the error message.
    """
    assert main.run_command(arguments) == 2
    assert 'by-mistake' not in capsys.readouterr().err
    assert not operator_server.received


@pytest.mark.parametrize('key', ['password', 'two words ' * 5, ''])
def test_weak_key_is_not_granted(
    operator_server: conftest.OperatorServer,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    key: str,
) -> None:
    """Guards against keys that can be guessed from their hash in the log."""
    path = tmp_path / 'key'
    path.write_text(key)
    arguments = ['key', 'grant', 'k', 'w', '--key-file', str(path)]
    assert main.run_command(arguments) == 2
    assert not key or key not in capsys.readouterr().err
    assert not operator_server.received


def test_withdrawal_that_is_not_in_force_everywhere_is_reported(
    operator_server: conftest.OperatorServer,
) -> None:
    """Guards against success while some daemon still accepts the key (R5)."""
    operator_server.respond('/operator/keys/withdraw', _ACCEPTED)
    operator_server.respond('/operator/behind', (200, {'behind': ['d-9']}))
    arguments = ['key', 'withdraw', 'partner-1', '--timeout', '0']
    assert main.run_command(arguments) == 6
