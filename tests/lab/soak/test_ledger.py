"""Tests that the checks of the soak notice broken promises."""

import pytest

from lab.soak import ledger as ledger_module


def make_ledger() -> ledger_module.Ledger:
    """Return a ledger of a fleet without requests."""
    ledger = ledger_module.Ledger()
    ledger.moves.append((0.0, 'front'))
    ledger.started_at['m0'].append(0.0)
    return ledger


def send(ledger: ledger_module.Ledger, **changes) -> ledger_module.Attempt:
    """Note an attempt that was answered."""
    values = {
        'attempt_id': f'a{len(ledger.attempts)}',
        'machine': 'm0',
        'route': 'read',
        'is_safe': True,
        'key': 'blue-1',
        'workspace': 'blue',
        'caller_service': 'front',
        'sent_at': 10.0,
        'ended_at': 10.1,
        'status': 200,
    }
    attempt = ledger_module.Attempt(**(values | changes))
    ledger.attempts[attempt.attempt_id] = attempt
    return attempt


def run(
    ledger: ledger_module.Ledger, attempt: ledger_module.Attempt, **changes
) -> None:
    """Note a run of an attempt."""
    values = {
        'attempt_id': attempt.attempt_id,
        'service': 'deep' if attempt.route == 'book' else 'front',
        'instance_id': 'm0.1',
        'workspace': attempt.workspace,
        'caller_service': attempt.caller_service,
        'has_key': False,
        'at': attempt.sent_at + 0.01,
    }
    ledger.note_run(ledger_module.Run(**(values | changes)))


def test_kept_promises_are_no_problem() -> None:
    """An answered, a refused and a repeated request."""
    ledger = make_ledger()
    run(ledger, send(ledger))
    send(ledger, status=503)
    repeated = send(ledger)
    run(ledger, repeated)
    run(ledger, repeated, instance_id='m2.1')
    assert ledger.check() == []


@pytest.mark.parametrize(
    ('attempt', 'arrival', 'expected'),
    [
        ({'problem': 'seal'}, {}, 'wrong answer'),
        ({'status': 503}, {}, 'ran though refused'),
        ({'status': None}, {}, 'closed without an answer'),
        ({}, {'has_key': True}, 'key seen'),
        ({}, {'workspace': 'red'}, 'wrong workspace'),
        ({}, {'caller_service': 'deep'}, 'wrong caller service'),
        ({}, {'service': 'deep'}, 'wrong service'),
        ({}, {'attempt_id': 'other'}, 'no caller sent this'),
    ],
)
def test_broken_promises_are_found(attempt, arrival, expected) -> None:
    """Each check notices what it is there for."""
    ledger = make_ledger()
    run(ledger, send(ledger, **attempt), **arrival)
    (problem,) = ledger.check()
    assert problem.startswith(expected)


def test_second_run_of_an_unsafe_request() -> None:
    """It may run once."""
    ledger = make_ledger()
    attempt = send(ledger, route='book', is_safe=False)
    run(ledger, attempt)
    run(ledger, attempt)
    (problem,) = ledger.check()
    assert problem.startswith('ran more than once')


def test_withdrawn_key() -> None:
    """It stops within the bound."""
    ledger = make_ledger()
    ledger.withdrawn_at['blue-1'] = 5.0
    run(ledger, send(ledger, sent_at=7.9))
    assert ledger.check() == []
    run(ledger, send(ledger, sent_at=8.1))
    assert ledger.check()[0].startswith('withdrawn key')


def test_leaving_upstream() -> None:
    """It gets nothing after the bound."""
    ledger = make_ledger()
    ledger.left_at['m0.1'] = 7.0
    run(ledger, send(ledger), at=8.9)
    assert ledger.check() == []
    run(ledger, send(ledger), at=9.1)
    assert ledger.check()[0].startswith('reached a leaving upstream')


def test_old_rules() -> None:
    """Rules are in force in time, unless something struck."""
    ledger = make_ledger()
    ledger.moves.append((5.0, 'deep'))
    run(ledger, send(ledger, route='moved', sent_at=6.9))
    assert ledger.check() == []
    run(ledger, send(ledger, route='moved', sent_at=7.2))
    assert ledger.check()[0].startswith('old rules')
    ledger.disturb('store', 4.0, 6.0)
    assert ledger.check() == []


def test_rules_that_go_back() -> None:
    """Within one life of a daemon."""
    ledger = make_ledger()
    ledger.moves.append((5.0, 'deep'))
    ledger.disturb('store', 4.0, 6.0)
    run(ledger, send(ledger, route='moved', sent_at=5.5), service='deep')
    run(ledger, send(ledger, route='moved', sent_at=6.5), service='front')
    assert ledger.check()[0].startswith('rules went back')
    ledger.started_at['m0'].append(6.0)
    assert ledger.check() == []


def test_quota_window() -> None:
    """No window holds more than rate, burst and what is tolerated."""
    ledger = make_ledger()
    ledger.rates['blue'] = 2.0, 2.0
    for index in range(33):
        run(ledger, send(ledger, sent_at=10.0 + 0.01 * index))
    assert ledger.check() == []
    run(ledger, send(ledger, sent_at=12.0))
    assert 'in a window' in ledger.check()[0]


def test_repeats_beyond_the_budget() -> None:
    """A share of the requests and a slack."""
    ledger = make_ledger()
    for index in range(100):
        attempt = send(ledger, sent_at=10.0 + 0.01 * index)
        run(ledger, attempt)
        if index < 70:
            run(ledger, attempt)
    assert 'repeats at front' in ledger.check()[0]
