"""Tests of the commands that check files and print schemas."""

import json
import pathlib

import pytest

from sassafraswood.cli import main


def test_valid_document(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a check that rejects a document the log accepts."""
    path = tmp_path / 'document.json'
    path.write_text('{"version": 1, "service": "status", "routes": []}')
    assert main.run_command(['check', 'document', str(path)]) == 0
    assert capsys.readouterr().out == f'{path}: valid\n'


def test_all_problems_of_a_document_are_listed(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a check that stops at the first problem."""
    path = tmp_path / 'document.json'
    path.write_text('{"version": 2, "service": "A", "routes": 3}')
    assert main.run_command(['check', 'document', str(path), '--json']) == 2
    captured = capsys.readouterr()
    result = json.loads(captured.out)
    assert result['is_valid'] is False
    paths = [problem['path'] for problem in result['problems']]
    assert paths == ['$.version', '$.service', '$.routes']
    assert len(captured.err.splitlines()) == 3


def test_settings_with_secrets_from_the_environment(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against secrets in the output of a check."""
    settings = json.loads(
        pathlib.Path('docs/settings.example.json').read_text()
    )
    for name in ('operator_token', 'curve_secret_key', 'curve_public_key'):
        settings[name] = {'env': name.upper()}
        monkeypatch.setenv(name.upper(), '0' * 40)
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(settings))
    assert main.run_command(['check', 'settings', str(path)]) == 0
    monkeypatch.setenv('CURVE_SECRET_KEY', 'not-a-key')
    assert main.run_command(['check', 'settings', str(path)]) == 2
    captured = capsys.readouterr()
    assert captured.err.startswith('error: $.curve_secret_key')
    assert 'not-a-key' not in captured.out + captured.err


def test_unreadable_files_give_one_line(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a traceback for a wrong path or a binary file."""
    binary = tmp_path / 'binary'
    binary.write_bytes(b'\xff\xfe')
    for path in (tmp_path, tmp_path / 'absent', binary):
        for kind in ('settings', 'document'):
            assert main.run_command(['check', kind, str(path)]) == 2
            assert capsys.readouterr().err.count('\n') == 1


@pytest.mark.parametrize('kind', ['document', 'settings'])
def test_schema_is_json(kind: str, capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a schema that editors can't read."""
    assert main.run_command(['schema', kind]) == 0
    assert '$ref' in json.loads(capsys.readouterr().out)
