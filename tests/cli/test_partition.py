"""Tests of the command that reclaims a partition."""

import io

import pytest

from sassafraswood.cli import main
from tests.cli import conftest

_PATH = '/operator/partition/reclaim'
_COMMAND = ['partition', 'reclaim', 'status', '1']


@pytest.mark.parametrize(
    ('answer', 'request_count'), [('y\n', 1), ('n\n', 0), ('', 0)]
)
def test_reclaim_needs_a_confirmation(
    operator_server: conftest.OperatorServer,
    monkeypatch: pytest.MonkeyPatch,
    answer: str,
    request_count: int,
) -> None:
    """Guards against two owners of a partition, which run requests twice."""
    operator_server.respond(_PATH, (202, {'status': 'requested'}))
    monkeypatch.setattr('sys.stdin', io.StringIO(answer))
    assert main.run_command(_COMMAND) == (0 if request_count else 2)
    assert len(operator_server.received) == request_count


def test_reclaim_with_yes_sends_service_and_partition(
    operator_server: conftest.OperatorServer,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against scripts that block on the confirmation prompt."""
    operator_server.respond(_PATH, (202, {'status': 'requested'}))
    assert main.run_command([*_COMMAND, '--yes', '--json']) == 0
    assert operator_server.received[0].body == {
        'service': 'status',
        'partition': 1,
    }
    assert capsys.readouterr().out == '{\n  "status": "requested"\n}\n'


def test_reclaim_is_sent_once_if_its_response_is_lost(
    operator_server: conftest.OperatorServer,
) -> None:
    """Guards against a retry that ends the lease of the first claim."""
    operator_server.respond(_PATH, None)
    assert main.run_command([*_COMMAND, '--yes']) == 5
    assert len(operator_server.received) == 1


def test_refused_reclaim_reports_the_reason(
    operator_server: conftest.OperatorServer,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a refusal without its reason.

    The daemon refuses, for example, to reclaim a partition of another service.
    """
    operator_server.respond(
        _PATH,
        (409, {'error': 'not_reclaimable', 'detail': 'ask another daemon'}),
    )
    assert main.run_command([*_COMMAND, '--yes']) == 4
    assert 'ask another daemon' in capsys.readouterr().err


def test_partition_that_does_not_exist_is_bad_input(
    operator_server: conftest.OperatorServer,
) -> None:
    """Guards against claims of partitions that a service does not have."""
    assert main.run_command(['partition', 'reclaim', 's', '3', '--yes']) == 2
    assert not operator_server.received
