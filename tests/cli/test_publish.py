"""Tests of the command that publishes a service document."""

import json
import pathlib

import pytest

from sassafraswood.cli import main
from sassafraswood.cli import publication
from tests.cli import conftest

_PATH = '/operator/publish'
_BEHIND = '/operator/behind'
_ACCEPTED = (
    200,
    {'status': 'accepted', 'revision': 4, 'detail': '', 'offset': 17},
)
_DOCUMENT = {
    'version': 1,
    'service': 'status',
    'routes': [{'path': '/status', 'open': True}],
}


@pytest.fixture
def file(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> str:
    """Return the path of a document; retries are not delayed."""
    monkeypatch.setattr(publication, '_RETRY_DELAY_S', 0.0)
    monkeypatch.setattr(publication, '_POLL_INTERVAL_S', 0.01)
    path = tmp_path / 'status.json'
    path.write_text(json.dumps(_DOCUMENT))
    return str(path)


def publish(file: str, *options: str) -> int:
    """Return the exit code of a publication."""
    return main.run_command(
        ['publish', file, '--replaces', '3', '--json', *options]
    )


def test_publish_waits_until_no_daemon_is_behind(
    operator_server: conftest.OperatorServer,
    file: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against success while daemons use the old revision (R12)."""
    operator_server.respond(_PATH, _ACCEPTED)
    operator_server.respond(
        _BEHIND, (200, {'behind': ['d-2']}), (200, {'behind': []})
    )
    assert publish(file) == 0
    result = json.loads(capsys.readouterr().out)
    assert result['in_force'] is True
    assert result['revision'] == 4
    [request] = operator_server.requests_to(_PATH)
    assert request.token == f'Bearer {conftest.TOKEN}'
    assert request.body == {
        'publication_id': result['publication_id'],
        'replaces': 3,
        'document': _DOCUMENT,
    }
    assert len(operator_server.requests_to(f'{_BEHIND}?offset=17')) == 2


def test_publish_names_the_daemons_that_are_behind(
    operator_server: conftest.OperatorServer,
    file: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against an error that does not name the daemons behind."""
    operator_server.respond(_PATH, _ACCEPTED)
    operator_server.respond(_BEHIND, (200, {'behind': ['d-2', 'd-5']}))
    assert publish(file, '--timeout', '0.1') == 6
    captured = capsys.readouterr()
    assert json.loads(captured.out)['behind'] == ['d-2', 'd-5']
    assert captured.err == 'error: accepted, but not in force on: d-2, d-5\n'


def test_accepted_publication_stays_accepted_if_the_daemon_is_lost(
    operator_server: conftest.OperatorServer, file: str
) -> None:
    """Guards against "unavailable" for a change that is in the log."""
    operator_server.respond(_PATH, _ACCEPTED)
    operator_server.respond(_BEHIND, None)
    assert publish(file, '--timeout', '0') == 6


def test_publish_without_waiting_sends_one_request(
    operator_server: conftest.OperatorServer, file: str
) -> None:
    """Guards against a --no-wait that still queries other daemons."""
    operator_server.respond(_PATH, _ACCEPTED)
    assert publish(file, '--no-wait') == 0
    assert len(operator_server.received) == 1


def test_unknown_outcome_is_retried_under_the_same_id(
    operator_server: conftest.OperatorServer,
    file: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a retry that conflicts with the first attempt."""
    lost = (504, {'error': 'log_outcome_unknown', 'detail': 'no answer'})
    operator_server.respond(_PATH, lost, None, _ACCEPTED)
    operator_server.respond(_BEHIND, (200, {'behind': []}))
    assert publish(file, '--publication-id', 'change-9') == 0
    ids = [
        request.body['publication_id']
        for request in operator_server.requests_to(_PATH)
    ]
    assert ids == ['change-9'] * 3
    assert json.loads(capsys.readouterr().out)['publication_id'] == 'change-9'


@pytest.mark.parametrize('last', [None, (503, {'error': 'log_unavailable'})])
def test_outcome_that_stays_unknown_is_not_reported_as_failure(
    operator_server: conftest.OperatorServer,
    file: str,
    capsys: pytest.CaptureFixture[str],
    last: tuple[int, object] | None,
) -> None:
    """Guards against a retry by the operator under another id."""
    operator_server.respond(_PATH, None, last)
    assert publish(file) == 5
    captured = capsys.readouterr()
    identifier = json.loads(captured.out)['publication_id']
    assert f'--publication-id {identifier}' in captured.err
    assert captured.err.count('\n') == 1
    assert len(operator_server.received) == publication.MAX_ATTEMPTS


def test_conflict_is_refused_and_not_retried(
    operator_server: conftest.OperatorServer,
    file: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against overwriting the change of another operator."""
    operator_server.respond(
        _PATH,
        (
            409,
            {
                'status': 'conflict',
                'revision': 5,
                'detail': 'revision 5 is in force',
                'offset': 21,
            },
        ),
    )
    assert publish(file) == 4
    captured = capsys.readouterr()
    assert captured.err == 'error: conflict: revision 5 is in force\n'
    assert json.loads(captured.out)['revision'] == 5
    assert len(operator_server.received) == 1


def test_invalid_document_is_not_sent(
    operator_server: conftest.OperatorServer,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against invalid documents that only the log rejects."""
    path = tmp_path / 'wrong.json'
    path.write_text('{"version": 1, "service": "A b"}')
    assert publish(str(path)) == 2
    path.write_text('{"version"')
    assert publish(str(path)) == 2
    assert publish(str(tmp_path / 'absent.json')) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 4
    assert lines[0].startswith('error: $.')
    assert not operator_server.received


def test_log_that_is_down_is_unavailable(
    operator_server: conftest.OperatorServer, file: str
) -> None:
    """Guards against "outcome unknown" although nothing was appended."""
    operator_server.respond(
        _PATH, (503, {'error': 'log_unavailable', 'detail': 'down'})
    )
    assert publish(file) == 3
    operator_server.stop()
    assert publish(file) == 3


def test_invalid_publication_id_is_not_sent(
    operator_server: conftest.OperatorServer, file: str
) -> None:
    """Guards against sending publication ids that the log refuses."""
    for identifier in ('', 'a\nb', 'x' * 129):
        assert publish(file, '--publication-id', identifier) == 2
    assert not operator_server.received
