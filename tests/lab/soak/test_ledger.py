"""Tests that the checks of the soak detect violations."""

import pytest

from lab.soak import ledger as ledger_module


def make_ledger() -> ledger_module.Ledger:
    """Return a ledger without attempts for one daemon."""
    ledger = ledger_module.Ledger()
    ledger.moves.append((0.0, 'front'))
    ledger.started_at['m0'].append(0.0)
    return ledger


def add_attempt(
    ledger: ledger_module.Ledger, **changes
) -> ledger_module.Attempt:
    """Record an attempt with a response of 200 unless changed."""
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


def add_run(
    ledger: ledger_module.Ledger, attempt: ledger_module.Attempt, **changes
) -> None:
    """Record a run of an attempt."""
    values = {
        'attempt_id': attempt.attempt_id,
        'service': 'deep' if attempt.route == 'book' else 'front',
        'instance_id': 'm0.1',
        'workspace': attempt.workspace,
        'caller_service': attempt.caller_service,
        'has_key': False,
        'at': attempt.sent_at + 0.01,
    }
    ledger.record_run(ledger_module.Run(**(values | changes)))


def test_correct_runs_have_no_problems() -> None:
    """Served, refused and retried requests are reported as correct."""
    ledger = make_ledger()
    add_run(ledger, add_attempt(ledger))
    add_attempt(ledger, status=503)
    retried = add_attempt(ledger)
    add_run(ledger, retried)
    add_run(ledger, retried, instance_id='m2.1')
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
def test_violations_are_found(attempt, arrival, expected) -> None:
    """Each check reports its own kind of violation."""
    ledger = make_ledger()
    add_run(ledger, add_attempt(ledger, **attempt), **arrival)
    (problem,) = ledger.check()
    assert problem.startswith(expected)


@pytest.mark.parametrize(('status', 'count'), [(200, 0), (502, 0), (503, 1)])
def test_call_of_an_upstream_that_ran_though_refused(status, count) -> None:
    """A call of an upstream is checked like that of a caller."""
    ledger = make_ledger()
    ledger.inner_calls['m0.i1'] = 'front'
    ledger.inner_statuses['m0.i1'] = status
    attempt = add_attempt(ledger, route='peek', workspace='')
    add_run(ledger, attempt, attempt_id='m0.i1', service='deep')
    problems = ledger.check()
    assert len(problems) == count
    assert all(item.startswith('ran though refused') for item in problems)


def test_second_run_of_an_unsafe_request() -> None:
    """An unsafe request that runs twice is reported."""
    ledger = make_ledger()
    attempt = add_attempt(ledger, route='book', is_safe=False)
    add_run(ledger, attempt)
    add_run(ledger, attempt)
    (problem,) = ledger.check()
    assert problem.startswith('ran more than once')


def test_withdrawn_key() -> None:
    """Use of a withdrawn key after REVOKE_S is reported."""
    ledger = make_ledger()
    ledger.withdrawn_at['blue-1'] = 5.0
    add_run(ledger, add_attempt(ledger, sent_at=7.9))
    assert ledger.check() == []
    add_run(ledger, add_attempt(ledger, sent_at=8.1))
    assert ledger.check()[0].startswith('withdrawn key')


def test_leaving_upstream() -> None:
    """A run at a leaving upstream after DRAIN_S is reported."""
    ledger = make_ledger()
    ledger.left_at['m0.1'] = 7.0
    add_run(ledger, add_attempt(ledger), at=8.9)
    assert ledger.check() == []
    add_run(ledger, add_attempt(ledger), at=9.1)
    assert ledger.check()[0].startswith('reached a leaving upstream')


def test_old_rules() -> None:
    """Outdated rules after APPLY_S are reported unless disturbed."""
    ledger = make_ledger()
    ledger.moves.append((5.0, 'deep'))
    add_run(ledger, add_attempt(ledger, route='moved', sent_at=6.9))
    assert ledger.check() == []
    add_run(ledger, add_attempt(ledger, route='moved', sent_at=7.2))
    assert ledger.check()[0].startswith('old rules')
    ledger.add_disturbance('store', 4.0, 6.0)
    assert ledger.check() == []


def test_rules_that_go_back() -> None:
    """A return to older rules in one daemon process is reported."""
    ledger = make_ledger()
    ledger.moves.append((5.0, 'deep'))
    ledger.add_disturbance('store', 4.0, 6.0)
    add_run(
        ledger, add_attempt(ledger, route='moved', sent_at=5.5), service='deep'
    )
    add_run(
        ledger,
        add_attempt(ledger, route='moved', sent_at=6.5),
        service='front',
    )
    assert ledger.check()[0].startswith('rules went back')
    ledger.started_at['m0'].append(6.0)
    assert ledger.check() == []


def test_quota_window() -> None:
    """Runs above rate, burst and tolerance in a window are reported."""
    ledger = make_ledger()
    ledger.rates['blue'] = 2.0, 2.0
    for index in range(33):
        add_run(ledger, add_attempt(ledger, sent_at=10.0 + 0.01 * index))
    assert ledger.check() == []
    add_run(ledger, add_attempt(ledger, sent_at=12.0))
    assert 'in a window' in ledger.check()[0]


def test_retries_beyond_the_budget() -> None:
    """Retries above the budget ratio plus slack are reported."""
    ledger = make_ledger()
    for index in range(100):
        attempt = add_attempt(ledger, sent_at=10.0 + 0.01 * index)
        add_run(ledger, attempt)
        if index < 70:
            add_run(ledger, attempt)
    assert 'retries at front' in ledger.check()[0]
