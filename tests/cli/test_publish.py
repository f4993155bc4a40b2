"""Tests of publishing from the command line."""

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
    """Return the path of a document; repetitions do not wait."""
    monkeypatch.setattr(publication, '_REPEAT_DELAY_S', 0.0)
    monkeypatch.setattr(publication, '_POLL_S', 0.01)
    path = tmp_path / 'status.json'
    path.write_text(json.dumps(_DOCUMENT))
    return str(path)


def publish(file: str, *options: str) -> int:
    """Return the exit code of a publication."""
    return main.run_command(
        ['publish', file, '--replaces', '3', '--json', *options]
    )


def test_publish_waits_until_no_daemon_is_behind(
    operators: conftest.Operators,
    file: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against success while daemons use the old revision (R12)."""
    operators.answer(_PATH, _ACCEPTED)
    operators.answer(
        _BEHIND, (200, {'behind': ['d-2']}), (200, {'behind': []})
    )
    assert publish(file) == 0
    result = json.loads(capsys.readouterr().out)
    assert result['in_force'] is True
    assert result['revision'] == 4
    [seen] = operators.requests(_PATH)
    assert seen.token == f'Bearer {conftest.TOKEN}'
    assert seen.body == {
        'publication_id': result['publication_id'],
        'replaces': 3,
        'document': _DOCUMENT,
    }
    assert len(operators.requests(f'{_BEHIND}?offset=17')) == 2


def test_publish_names_the_daemons_that_are_behind(
    operators: conftest.Operators,
    file: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against an operator who does not know where it is missing."""
    operators.answer(_PATH, _ACCEPTED)
    operators.answer(_BEHIND, (200, {'behind': ['d-2', 'd-5']}))
    assert publish(file, '--timeout', '0.1') == 6
    captured = capsys.readouterr()
    assert json.loads(captured.out)['behind'] == ['d-2', 'd-5']
    assert captured.err == 'error: accepted, but not in force on: d-2, d-5\n'


def test_accepted_publication_stays_accepted_if_the_daemon_is_lost(
    operators: conftest.Operators, file: str
) -> None:
    """Guards against "unavailable" for a change that is in the log."""
    operators.answer(_PATH, _ACCEPTED)
    operators.answer(_BEHIND, None)
    assert publish(file, '--timeout', '0') == 6


def test_publish_without_waiting_asks_nobody(
    operators: conftest.Operators, file: str
) -> None:
    """Guards against a --no-wait that still depends on other daemons."""
    operators.answer(_PATH, _ACCEPTED)
    assert publish(file, '--no-wait') == 0
    assert len(operators.seen) == 1


def test_unknown_outcome_is_repeated_under_the_same_id(
    operators: conftest.Operators,
    file: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a conflict with the own first attempt."""
    lost = (504, {'error': 'log_outcome_unknown', 'detail': 'no answer'})
    operators.answer(_PATH, lost, None, _ACCEPTED)
    operators.answer(_BEHIND, (200, {'behind': []}))
    assert publish(file, '--publication-id', 'change-9') == 0
    ids = [seen.body['publication_id'] for seen in operators.requests(_PATH)]
    assert ids == ['change-9'] * 3
    assert json.loads(capsys.readouterr().out)['publication_id'] == 'change-9'


@pytest.mark.parametrize('last', [None, (503, {'error': 'log_unavailable'})])
def test_outcome_that_stays_unknown_is_not_reported_as_failure(
    operators: conftest.Operators,
    file: str,
    capsys: pytest.CaptureFixture[str],
    last: tuple[int, object] | None,
) -> None:
    """Guards against an operator who repeats it under another id."""
    operators.answer(_PATH, None, last)
    assert publish(file) == 5
    captured = capsys.readouterr()
    identifier = json.loads(captured.out)['publication_id']
    assert f'--publication-id {identifier}' in captured.err
    assert captured.err.count('\n') == 1
    assert len(operators.seen) == publication.ATTEMPTS


def test_conflict_is_refused_and_not_repeated(
    operators: conftest.Operators,
    file: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against overwriting the change of another operator."""
    operators.answer(
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
    assert len(operators.seen) == 1


def test_wrong_document_is_not_sent(
    operators: conftest.Operators,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against documents that only the log finds wrong."""
    path = tmp_path / 'wrong.json'
    path.write_text('{"version": 1, "service": "A b"}')
    assert publish(str(path)) == 2
    path.write_text('{"version"')
    assert publish(str(path)) == 2
    assert publish(str(tmp_path / 'absent.json')) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 4
    assert lines[0].startswith('error: $.')
    assert not operators.seen


def test_log_that_is_down_is_unavailable(
    operators: conftest.Operators, file: str
) -> None:
    """Guards against "unknown" where nothing was appended."""
    operators.answer(
        _PATH, (503, {'error': 'log_unavailable', 'detail': 'down'})
    )
    assert publish(file) == 3
    operators.stop()
    assert publish(file) == 3


def test_wait_does_not_begin_with_a_wrong_id(
    operators: conftest.Operators, file: str
) -> None:
    """Guards against ids that the log refuses."""
    for identifier in ('', 'a\nb', 'x' * 129):
        assert publish(file, '--publication-id', identifier) == 2
    assert not operators.seen
