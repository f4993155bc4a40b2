"""Tests of the settings of a daemon."""

import contextlib
import json
import typing

import hypothesis
from hypothesis import strategies
import pytest

from sassafraswood import exceptions
from sassafraswood.protocol import settings

_KEY = '0' * 40
_TOKEN = 'operator-token-of-the-test'
_FILES = {
    '/run/secrets/operator-token': _TOKEN + '\n',
    '/run/secrets/curve-secret-key': _KEY,
}
_ENVIRON = {'SASSAFRASWOOD_CURVE_PUBLIC_KEY': _KEY}


def _read_file(path: str) -> str:
    if path not in _FILES:
        raise FileNotFoundError(path)
    return _FILES[path]


def _load(**changes: object) -> settings.Settings:
    """Load the documented example with some fields replaced."""
    with open('docs/settings.example.json') as file:
        value = json.load(file) | changes
    return settings.load_settings(json.dumps(value), _ENVIRON, _read_file)


def test_documented_example_loads_and_hides_its_secrets() -> None:
    """Guards against logging secrets through repr (R4)."""
    loaded = _load()
    assert loaded.operator_token.reveal() == _TOKEN
    assert loaded.peers[0].address == '10.0.1.18:8090'
    assert loaded.peers[1].daemon_id == 'van-booking-2'
    for text in (repr(loaded), str(loaded), f'{loaded.operator_token}'):
        assert _TOKEN not in text
        assert _KEY not in text


def test_all_problems_are_reported_at_once_without_secrets() -> None:
    """Guards against reporting one problem per start, and showing secrets."""
    with pytest.raises(exceptions.SettingsError) as caught:
        _load(
            daemon_id='A b',
            caller_listen='localhost:80',
            advertised_peer_address='0.0.0.0:1',
            log={'url': 'http://user:hidden@h', 'stream': '../x'},
            peers=[7, '10.0.0.1', {'address': '10.0.0.1:1', 'x': 1}],
            operator_token='inline-secret-value',
            curve_secret_key={'env': 'not a name: inline'},
            curve_public_key={'file': '/absent'},
            control='half',
            limits={'max_calls': 0},
        )
    assert {problem.path for problem in caught.value.problems} == {
        '$.daemon_id',
        '$.caller_listen',
        '$.advertised_peer_address',
        '$.log.url',
        '$.log.stream',
        '$.peers[0]',
        '$.peers[1].address',
        "$.peers[2].'x'",
        '$.operator_token',
        '$.curve_secret_key.env',
        '$.curve_public_key.file',
        '$.control',
        '$.limits.max_calls',
    }
    for secret in ('hidden', 'inline'):
        assert secret not in str(caught.value)


@pytest.mark.parametrize('text', ['', '[]', 'null', '[' * 100_000, '{}'])
def test_text_without_settings_gives_a_settings_error(text: str) -> None:
    """Guards against a traceback for a file that holds no settings."""
    with pytest.raises(exceptions.SettingsError):
        settings.load_settings(text, {}, _read_file)


_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(max_size=8)
    | strategies.sampled_from(['10.0.0.1:1', '[::1]:1', 'http://h:x', '::']),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                ['url', 'stream', 'address', 'file', 'env']
            ),
            inner,
        )
    ),
    max_leaves=6,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(sorted(settings.Settings.__struct_fields__)),
        _VALUES,
        min_size=1,
    )
)
def test_any_value_of_a_field_gives_settings_or_a_settings_error(
    changes: dict,
) -> None:
    """Guards against a traceback for an invalid field value."""
    with contextlib.suppress(exceptions.SettingsError):
        _load(**changes)


@pytest.mark.parametrize('name', ['operator_token', 'curve_secret_key'])
def test_invalid_secrets_are_rejected_but_not_shown(name: str) -> None:
    """Guards against showing an invalid secret in the error message."""
    typing.cast(dict, _FILES)['/bad'] = 'wrong secret'
    with pytest.raises(exceptions.SettingsError) as caught:
        _load(**{name: {'file': '/bad'}})
    assert 'wrong secret' not in str(caught.value)
    assert settings.settings_schema()['$defs']['SecretSource']
