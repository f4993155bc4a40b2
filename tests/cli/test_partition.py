"""Tests of reclaiming partitions."""

import io

import pytest

from sassafraswood.cli import main
from tests.cli import conftest

_PATH = '/operator/partition/reclaim'
_COMMAND = ['partition', 'reclaim', 'status', '1']


@pytest.mark.parametrize(
    ('answer', 'requests'), [('y\n', 1), ('n\n', 0), ('', 0)]
)
def test_reclaim_needs_a_confirmation(
    operators: conftest.Operators,
    monkeypatch: pytest.MonkeyPatch,
    answer: str,
    requests: int,
) -> None:
    """Guards against two owners, and so against requests that run twice."""
    operators.answer(_PATH, (202, {'status': 'requested'}))
    monkeypatch.setattr('sys.stdin', io.StringIO(answer))
    assert main.run_command(_COMMAND) == (0 if requests else 2)
    assert len(operators.seen) == requests


def test_reclaim_with_yes_sends_service_and_partition(
    operators: conftest.Operators, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against scripts that wait for an answer for ever."""
    operators.answer(_PATH, (202, {'status': 'requested'}))
    assert main.run_command([*_COMMAND, '--yes', '--json']) == 0
    assert operators.seen[0].body == {'service': 'status', 'partition': 1}
    assert capsys.readouterr().out == '{\n  "status": "requested"\n}\n'


def test_reclaim_is_sent_once_if_its_answer_is_lost(
    operators: conftest.Operators,
) -> None:
    """Guards against a second claim that ends the lease of the first."""
    operators.answer(_PATH, None)
    assert main.run_command([*_COMMAND, '--yes']) == 5
    assert len(operators.seen) == 1


def test_refused_reclaim_says_why(
    operators: conftest.Operators, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a reclaim at a daemon of another service."""
    operators.answer(
        _PATH,
        (409, {'error': 'not_reclaimable', 'detail': 'ask another daemon'}),
    )
    assert main.run_command([*_COMMAND, '--yes']) == 4
    assert 'ask another daemon' in capsys.readouterr().err


def test_partition_that_does_not_exist_is_bad_input(
    operators: conftest.Operators,
) -> None:
    """Guards against claims on partitions without meaning."""
    assert main.run_command(['partition', 'reclaim', 's', '3', '--yes']) == 2
    assert not operators.seen
