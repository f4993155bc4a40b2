"""Tests of the commands for keys."""

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
_NOBODY = (200, {'behind': []})


def test_generated_key_can_be_granted_from_its_file(
    operators: conftest.Operators,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against hashes that differ, and readable or printed keys."""
    operators.answer('/operator/keys/grant', _ACCEPTED)
    operators.answer('/operator/behind', _NOBODY)
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
    body = operators.requests('/operator/keys/grant')[0].body
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
    operators: conftest.Operators,
    arguments: list[str],
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against grants that no key can use, and keys in errors."""
    assert main.run_command(arguments) == 2
    assert 'by-mistake' not in capsys.readouterr().err
    assert not operators.seen


@pytest.mark.parametrize('key', ['password', 'two words ' * 5, ''])
def test_weak_key_is_not_granted(
    operators: conftest.Operators,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    key: str,
) -> None:
    """Guards against keys that readers of the log could guess."""
    path = tmp_path / 'key'
    path.write_text(key)
    arguments = ['key', 'grant', 'k', 'w', '--key-file', str(path)]
    assert main.run_command(arguments) == 2
    assert not key or key not in capsys.readouterr().err
    assert not operators.seen


def test_withdrawal_that_is_not_everywhere_is_told(
    operators: conftest.Operators,
) -> None:
    """Guards against trust in a key that still works somewhere (R5)."""
    operators.answer('/operator/keys/withdraw', _ACCEPTED)
    operators.answer('/operator/behind', (200, {'behind': ['d-9']}))
    arguments = ['key', 'withdraw', 'partner-1', '--timeout', '0']
    assert main.run_command(arguments) == 6
