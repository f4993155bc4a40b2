"""Tests of the settings file of the platform."""

import math

import pytest

from sassafraswood import exceptions
from sassafraswood.platform import settings

TEXT = """
node = "sidecar-a-1"
zone = "a"
service = "huvo11a"
bootstrap = true
heartbeat-interval-s = 1.5
app-addr = "10.1.0.26:8547"
new-field = "ignored"
bounds = ["revoke-s=5","strict-revoke=true","grace-s=6","other=x"]
[listen]
inbound = "10.1.0.26:8543"
outbound = "10.1.0.26:8548"
ready = "10.1.0.26:8546"
control = "10.1.0.26:8540"
[platform]
address = "10.200.1.7:8545"
"""


def test_settings_are_decoded() -> None:
    """Valid settings are decoded; unknown fields are ignored."""
    decoded = settings.parse(TEXT)
    assert decoded.caller_address == ('10.1.0.26', 8548)
    assert decoded.store_address == ('10.200.1.7', 8545)
    assert decoded.is_first_start
    assert decoded.bounds.key_age_s == 5.0


def test_bounds_may_be_one_text() -> None:
    """Bounds are also accepted as one string separated by commas."""
    text = TEXT.replace(
        '["revoke-s=5","strict-revoke=true","grace-s=6","other=x"]',
        '"revoke-s=7,strict-revoke=false"',
    )
    bounds = settings.parse(text).bounds
    assert bounds.revoke_s == 7.0
    assert bounds.key_age_s == math.inf


def test_every_problem_is_named() -> None:
    """The error lists the path of each problem and the allowed value."""
    text = TEXT.replace('"10.1.0.26:8548"', '"10.1.0.26"').replace(
        'node = "sidecar-a-1"\n', ''
    )
    with pytest.raises(exceptions.SettingsError) as caught:
        settings.parse(text)
    paths = [problem.path for problem in caught.value.problems]
    assert paths == ['node', 'listen.outbound']
    assert 'an IP address and port' in str(caught.value)


def test_broken_file_is_rejected(tmp_path) -> None:
    """Invalid TOML and an unreadable file raise SettingsError."""
    with pytest.raises(exceptions.SettingsError):
        settings.parse('node = ')
    with pytest.raises(exceptions.SettingsError):
        settings.load(tmp_path / 'missing')


def test_other_daemons_may_be_told_another_address() -> None:
    """The advertised address defaults to the listen address for peers."""
    assert settings.parse(TEXT).advertised_address == ('10.1.0.26', 8543)
    text = TEXT.replace(
        '[platform]', 'advertised = "10.9.0.1:7000"\n[platform]'
    )
    decoded = settings.parse(text)
    assert decoded.advertised_address == ('10.9.0.1', 7000)
    assert decoded.peer_address == ('10.1.0.26', 8543)
