"""Tests of headers and problem details."""

import json

import pytest

from sassafraswood import exceptions
from sassafraswood.models import call
from sassafraswood.models import enums
from sassafraswood.protocol import headers
from sassafraswood.protocol import problems


def test_keys_and_hop_by_hop_headers_are_removed() -> None:
    """Guards against forwarding a caller's key to the upstream (R4)."""
    given = [
        ('authorization', 'Bearer k'),
        ('authorization', 'Bearer l'),
        ('proxy-authorization', 'Basic x'),
        ('call-token', 't'),
        ('connection', 'close, X-Own'),
        ('x-own', '1'),
        ('te', 'trailers'),
        ('transfer-encoding', 'chunked'),
        ('content-length', '5'),
        ('cookie', 'a=b'),
        ('accept', '*/*'),
    ]
    kept = [('cookie', 'a=b'), ('accept', '*/*')]
    assert headers.to_upstream(given) == kept
    answer = [('sassafraswood-run', 'not-run'), ('set-cookie', 'a=b')]
    assert headers.to_caller(answer) == [('set-cookie', 'a=b')]


def test_valid_values_are_parsed() -> None:
    """Guards against refusing requests with valid headers."""
    assert headers.parse_bearer_key([('authorization', 'bearer  aZ9-._~+/=')])
    assert headers.parse_bearer_key([]) is None
    assert headers.parse_timeout_s([('request-timeout-ms', '1500')]) == 1.5
    assert headers.parse_timeout_s([('request-timeout-ms', '9999999')]) == 60.0
    for value in ('"a\\"b"', '"ab"', 'ab'):
        assert headers.parse_idempotency_key([('idempotency-key', value)])
    same = [('idempotency-key', 'ab')], [('idempotency-key', '"ab"')]
    assert len({headers.parse_idempotency_key(pairs) for pairs in same}) == 1


@pytest.mark.parametrize(
    ('name', 'value', 'reason'),
    [
        ('authorization', 'Basic abc', 'key_missing'),
        ('authorization', 'Bearer a b', 'key_missing'),
        ('authorization', 'Bearer ' + 'a' * 513, 'key_missing'),
        ('request-timeout-ms', '0', 'invalid_timeout'),
        ('request-timeout-ms', '-1', 'invalid_timeout'),
        ('request-timeout-ms', '\u0661', 'invalid_timeout'),
        ('idempotency-key', '', 'idempotency_key_malformed'),
        ('idempotency-key', '"a', 'idempotency_key_malformed'),
        ('idempotency-key', 'a, b', 'idempotency_key_malformed'),
        ('idempotency-key', 'a' * 129, 'idempotency_key_malformed'),
    ],
)
def test_invalid_values_have_a_reason(
    name: str, value: str, reason: str
) -> None:
    """Guards against errors without a reason and accepted repeated headers."""
    parse = {
        'authorization': headers.parse_bearer_key,
        'request-timeout-ms': headers.parse_timeout_s,
        'idempotency-key': headers.parse_idempotency_key,
    }[name]
    with pytest.raises(exceptions.HeaderError) as caught:
        parse([(name, value)])
    assert caught.value.reason.value == reason
    with pytest.raises(exceptions.HeaderError):
        parse([(name, 'a'), (name, 'a')])


def test_status_tells_whether_the_call_may_have_run() -> None:
    """Guards against a "not run" status for a call that may have run.

    A caller would then send the call again, and it might run twice.
    """
    may_have_run_codes = {502, 504}
    for reason in enums.RefusalReason:
        for outcome in enums.Outcome:
            refusal = call.Refusal(reason=reason, outcome=outcome)
            status_code = problems.get_status_code(refusal)
            if reason is enums.RefusalReason.IDEMPOTENCY_OUTCOME_UNKNOWN:
                assert status_code == 409 or outcome is enums.Outcome.RUN
            else:
                is_not_run = outcome is enums.Outcome.NOT_RUN
                assert (status_code in may_have_run_codes) != is_not_run


def test_problem_details_have_the_documented_members() -> None:
    """Guards against a refusal without the members that callers parse."""
    answer = problems.problem_details(
        call.Refusal(
            reason=enums.RefusalReason.RATE_EXCEEDED,
            outcome=enums.Outcome.NOT_RUN,
            detail='rate of van-booking',
            retry_after_s=0.2,
        )
    )
    assert answer.status == 429
    assert ('retry-after', '1') in answer.headers
    assert ('sassafraswood-run', 'not-run') in answer.headers
    assert json.loads(answer.body) == {
        'type': 'urn:sassafraswood:refusal:rate_exceeded',
        'title': 'Rate exceeded',
        'status': 429,
        'detail': 'rate of van-booking',
        'reason': 'rate_exceeded',
        'run': 'not-run',
        'retry_after_s': 0.2,
    }
