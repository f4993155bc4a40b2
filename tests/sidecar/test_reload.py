"""Tests of reloading the settings file while a daemon runs."""

import asyncio
import json
import os
import signal

from sassafraswood.platform import settings as settings_module
from sassafraswood import process_signals
from sassafraswood.sidecar import process

TEXT = """
node = "d1"
zone = "a"
service = "status"
app-addr = "127.0.0.1:8547"
heartbeat-interval-s = 1.5
bounds = ["revoke-s=5","grace-s=6"]
[listen]
inbound = "127.0.0.1:8543"
outbound = "127.0.0.1:8548"
ready = "127.0.0.1:8546"
control = "127.0.0.1:8540"
[platform]
address = "127.0.0.1:8545"
"""


def reload(tmp_path, monkeypatch, text: str) -> tuple[process.Daemon, list]:
    """Return a daemon that has reloaded a text, and its log events."""
    path = tmp_path / 'boot.toml'
    path.write_text(TEXT)
    monkeypatch.setenv(settings_module.PATH_VARIABLE, str(path))
    reader, writer = os.pipe()

    async def async_main() -> process.Daemon:
        daemon = process.Daemon(
            settings_module.load(path), log_descriptor=writer
        )
        path.write_text(text)
        daemon.reload()
        daemon.close()
        return daemon

    daemon = asyncio.run(async_main())
    os.close(writer)
    with os.fdopen(reader) as lines:
        return daemon, [json.loads(line) for line in lines]


def test_bounds_are_applied(tmp_path, monkeypatch) -> None:
    """Changed bounds apply without a restart."""
    text = TEXT.replace('grace-s=6', 'grace-s=9')
    daemon, events = reload(tmp_path, monkeypatch, text)
    assert daemon.settings.bounds.grace_s == 9.0
    assert events[-1]['event'] == 'settings_read'
    assert events[-1]['changed'] is True
    assert events[-1]['needs_restart'] == []


def test_addresses_are_not_applied(tmp_path, monkeypatch) -> None:
    """A changed address is logged as needing a restart."""
    text = TEXT.replace('127.0.0.1:8548', '127.0.0.1:9548')
    daemon, events = reload(tmp_path, monkeypatch, text)
    assert daemon.settings.caller_address[1] == 8548
    assert events[-1]['needs_restart'] == ['caller_address']


def test_invalid_file_changes_nothing(tmp_path, monkeypatch) -> None:
    """The settings in force stay, and a log event names the invalid one."""
    text = TEXT.replace('node = "d1"', 'node = 7')
    daemon, events = reload(tmp_path, monkeypatch, text)
    assert daemon.settings.daemon_id == 'd1'
    assert events[-1]['event'] == 'settings_rejected'
    assert 'node' in events[-1]['error']


# Guards against a change that is lost between the settings and the loop.
def test_signals_before_the_loop_are_applied(tmp_path, monkeypatch) -> None:
    """A reload and a stop that came early are applied, in this order."""
    path = tmp_path / 'boot.toml'
    path.write_text(TEXT)
    monkeypatch.setenv(settings_module.PATH_VARIABLE, str(path))
    former = {
        number: signal.getsignal(number)
        for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)
    }
    signals = process_signals.ProcessSignals()
    reader, writer = os.pipe()

    async def async_main() -> process.Daemon:
        daemon = process.Daemon(
            settings_module.load(path), log_descriptor=writer
        )
        path.write_text(TEXT.replace('grace-s=6', 'grace-s=9'))
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGTERM)
        await daemon.async_run(signals)
        return daemon

    signals.install()
    try:
        daemon = asyncio.run(async_main())
    finally:
        for number, handler in former.items():
            signal.signal(number, handler)
    os.close(writer)
    with os.fdopen(reader) as lines:
        events = [json.loads(line)['event'] for line in lines]
    assert daemon.settings.bounds.grace_s == 9.0
    assert events == ['settings_read', 'stopped_at_start']
