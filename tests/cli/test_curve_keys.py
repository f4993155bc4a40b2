"""Tests of the command that generates the key pair of a fleet."""

import pathlib
import stat

import pytest
import zmq

from sassafraswood.cli import main


def _arguments(folder: pathlib.Path) -> list[str]:
    return [
        'curve-keys',
        '--public-file',
        str(folder / 'curve.pub'),
        '--secret-file',
        str(folder / 'curve.key'),
    ]


def test_pair_is_private_and_not_printed(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a secret key that other users can read."""
    assert main.run_command(_arguments(tmp_path)) == 0
    assert capsys.readouterr().out == ''
    public, secret = tmp_path / 'curve.pub', tmp_path / 'curve.key'
    for path in (public, secret):
        assert stat.S_IMODE(path.stat().st_mode) == 0o600
    expected = zmq.curve_public(secret.read_text().strip().encode())
    assert public.read_text().strip().encode() == expected


def test_only_the_public_key_is_shown_when_asked(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against the secret key in the scrollback of a terminal."""
    assert main.run_command([*_arguments(tmp_path), '--show-public']) == 0
    assert capsys.readouterr().out == (tmp_path / 'curve.pub').read_text()


@pytest.mark.parametrize('name', ['curve.pub', 'curve.key'])
def test_existing_files_are_not_overwritten(
    tmp_path: pathlib.Path, name: str
) -> None:
    """Guards against overwriting the key that a fleet uses."""
    (tmp_path / name).write_text('in use')
    assert main.run_command(_arguments(tmp_path)) == 2
    assert [path.name for path in tmp_path.iterdir()] == [name]
    assert (tmp_path / name).read_text() == 'in use'
