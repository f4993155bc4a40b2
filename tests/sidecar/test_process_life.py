"""Tests of the start and the end of real daemon processes."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import sysconfig
import time

import pytest

TIMEOUT_S = 20.0
# Libraries that are loaded one after the other while a process starts.
START_LIBRARIES = ('/uvloop/', '/httptools/', '/msgspec/')
ROOT = pathlib.Path(__file__).resolve().parents[2]
LISTENERS = {'outbound': 7001, 'inbound': 7002, 'ready': 7004, 'control': 7005}
METRICS_PORT = 9464
pytestmark = pytest.mark.process


class DaemonProcess:
    """A daemon on a loopback address of its own, started as on a VM."""

    def __init__(self, folder: pathlib.Path, host: str = '') -> None:
        """Write the settings, without starting the daemon."""
        self.host = host or f'127.{1 + os.getpid() % 254}.7.1'
        self.settings_path = folder / 'boot.toml'
        self.log_path = folder / 'daemon.log'
        listen = '\n'.join(
            f'{name} = "{self.host}:{port}"'
            for name, port in LISTENERS.items()
        )
        self.settings = (
            'node = "d1"\nzone = "a"\nservice = "status"\nbounds = []\n'
            f'app-addr = "{self.host}:7006"\n[listen]\n{listen}\n'
            f'[platform]\naddress = "{self.host}:7008"\n'
        )
        self.settings_path.write_text(self.settings)
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, *paths: str) -> subprocess.Popen[bytes]:
        """Start the daemon with its log in a file.

        Args:
            paths: Folders of modules that replace others.
        """
        paths = (*paths, str(ROOT), sysconfig.get_path('platlib'))
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-S', '-P', '-m', 'sassafraswood.sidecar'],
                env={
                    'PYTHONPATH': ':'.join(paths),
                    'SASSAFRASWOOD_SETTINGS': str(self.settings_path),
                },
                stdout=log,
                stderr=log,
            )
        return self.process

    def events(self) -> list[str]:
        """Return the events of the log so far."""
        lines = self.log_path.read_bytes().splitlines()
        return [
            json.loads(line)['event'] for line in lines if line[:1] == b'{'
        ]

    def accepts(self, port: int) -> bool:
        """Return whether connections to a port are accepted."""
        with contextlib.suppress(OSError):
            socket.create_connection((self.host, port), 1.0).close()
            return True
        return False

    def has_loaded(self, library: str) -> bool:
        """Return whether the process has loaded a library."""
        assert self.process is not None
        maps = pathlib.Path(f'/proc/{self.process.pid}/maps')
        return library in maps.read_text()

    def wait(self) -> int:
        """Wait until the process is gone and return its exit code."""
        assert self.process is not None
        return self.process.wait(TIMEOUT_S)


@pytest.fixture
def daemon(tmp_path):
    """Return a daemon that is killed after the test."""
    daemon = DaemonProcess(tmp_path)
    yield daemon
    if daemon.process is not None:
        daemon.process.kill()
        daemon.process.wait()


def wait_until(is_true) -> None:
    """Wait until a condition holds."""
    end_at = time.monotonic() + TIMEOUT_S
    while not is_true():
        assert time.monotonic() < end_at, 'condition does not hold in time'
        time.sleep(0.001)


# Guards against a start that a signal ends, before the event loop runs.
@pytest.mark.parametrize('library', START_LIBRARIES)
@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
def test_stop_signal_during_the_start_ends_with_exit_0(
    daemon, library, number
) -> None:
    """The process serves nothing and says why."""
    process = daemon.start()
    wait_until(lambda: daemon.has_loaded(library))
    process.send_signal(number)
    assert daemon.wait() == 0
    assert daemon.events() == ['stopped_at_start']


# Guards against a start that a change of the settings ends.
@pytest.mark.parametrize('library', START_LIBRARIES)
def test_reload_signals_during_the_start_do_not_end_it(
    daemon, library
) -> None:
    """The process serves and stops as usual."""
    process = daemon.start()
    wait_until(lambda: daemon.has_loaded(library))
    while not daemon.accepts(LISTENERS['ready']):
        process.send_signal(signal.SIGHUP)
        time.sleep(0.005)
        assert process.poll() is None
    process.send_signal(signal.SIGTERM)
    assert daemon.wait() == 0


# Guards against the default handling of signals behind the event loop.
def test_signals_until_the_process_is_gone_do_not_end_it(daemon) -> None:
    """The stop ends with exit 0, whatever follows the first signal."""
    process = daemon.start()
    wait_until(lambda: daemon.accepts(LISTENERS['ready']))
    numbers = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
    while process.poll() is None:
        for number in numbers:
            process.send_signal(number)
            time.sleep(0.0005)
    assert process.returncode == 0
    assert daemon.events()[-1] == 'stopped'


def listen(daemon: DaemonProcess, port: int) -> socket.socket:
    """Return a socket that listens on an address of the daemon."""
    return socket.create_server((daemon.host, port))


# Guards against a start that ends because a former process is not gone yet.
@pytest.mark.parametrize('taken', [*LISTENERS.values(), METRICS_PORT])
def test_start_waits_for_an_address_that_is_taken(daemon, taken) -> None:
    """Nothing is served before, and all is served once it is free."""
    former = listen(daemon, taken)
    process = daemon.start()
    wait_until(lambda: 'address_unavailable' in daemon.events())
    free = [port for port in LISTENERS.values() if port != taken]
    if taken == METRICS_PORT:
        wait_until(lambda: all(daemon.accepts(port) for port in free))
    else:
        time.sleep(0.5)
        assert not any(daemon.accepts(port) for port in free)
    former.close()
    wait_until(
        lambda: all(
            daemon.accepts(port) for port in (*LISTENERS.values(), taken)
        )
    )
    process.send_signal(signal.SIGTERM)
    assert daemon.wait() == 0
    assert daemon.events().count('address_unavailable') == 1
    assert daemon.events().count('address_bound') == 1


# Guards against a wait for an address that no signal ends.
@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
def test_stop_signal_ends_the_wait_for_an_address(daemon, number) -> None:
    """The process ends at once with exit 0."""
    with listen(daemon, LISTENERS['inbound']):
        process = daemon.start()
        wait_until(lambda: 'address_unavailable' in daemon.events())
        process.send_signal(signal.SIGHUP)
        process.send_signal(number)
        assert daemon.wait() == 0
    assert daemon.events()[-1] == 'stopped'


# Guards against a start that ends because its addresses are not there yet.
def test_start_waits_for_an_address_that_does_not_exist(tmp_path) -> None:
    """Each address is named once, and a stop signal ends the wait."""
    daemon = DaemonProcess(tmp_path, '192.0.2.7')
    process = daemon.start()
    try:
        wait_until(lambda: 'address_unavailable' in daemon.events())
        time.sleep(0.5)
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        assert daemon.wait() == 0
    finally:
        process.kill()
        process.wait()
    assert daemon.events().count('address_unavailable') == len(LISTENERS)


# Guards against processes that each hold a part of the same addresses.
def test_one_of_two_waiting_processes_gets_all_addresses(
    daemon, tmp_path
) -> None:
    """The other one takes over when the first is gone."""
    (tmp_path / 'other').mkdir()
    other = DaemonProcess(tmp_path / 'other')
    with listen(daemon, LISTENERS['control']):
        processes = [daemon.start(), other.start()]
        for item in (daemon, other):
            wait_until(
                lambda item=item: 'address_unavailable' in item.events()
            )
    try:
        for _ in range(2):
            wait_until(lambda: all(map(daemon.accepts, LISTENERS.values())))
            wait_until(
                lambda: any(
                    'address_bound' in item.events()
                    for item in (daemon, other)
                    if item.process in processes
                )
            )
            serving = next(
                item
                for item in (daemon, other)
                if 'address_bound' in item.events()
                and item.process in processes
            )
            serving.process.send_signal(signal.SIGKILL)
            processes.remove(serving.process)
            assert serving.wait() == -signal.SIGKILL
    finally:
        other.process.kill()
        other.wait()


# Guards against a start that ends because its settings are being written.
@pytest.mark.parametrize('size', [None, 0, 40, -12])
def test_start_waits_for_whole_settings(daemon, size) -> None:
    """The file is missing, empty or cut at first."""
    daemon.settings_path.unlink()
    if size is not None:
        daemon.settings_path.write_text(daemon.settings[:size])
    process = daemon.start()
    wait_until(lambda: 'settings_awaited' in daemon.events())
    process.send_signal(signal.SIGHUP)
    daemon.settings_path.write_text(daemon.settings)
    wait_until(lambda: daemon.accepts(LISTENERS['ready']))
    process.send_signal(signal.SIGTERM)
    assert daemon.wait() == 0


# Guards against a wait for settings that no signal ends.
def test_stop_signal_ends_the_wait_for_settings(daemon) -> None:
    """The process ends at once with exit 0."""
    daemon.settings_path.unlink()
    process = daemon.start()
    wait_until(lambda: 'settings_awaited' in daemon.events())
    process.send_signal(signal.SIGTERM)
    assert daemon.wait() == 0
    assert daemon.events()[-1] == 'stopped_at_start'


# Guards against an end by itself that leaves no line with its reason.
def test_settings_that_stay_invalid_end_the_process(daemon) -> None:
    """The exit code is 2, and the log and stderr name the problem."""
    daemon.settings_path.write_text(daemon.settings.replace('"d1"', '7'))
    daemon.start()
    assert daemon.wait() == 2
    assert daemon.events() == ['settings_awaited', 'settings_rejected']
    assert daemon.log_path.read_text().count('node: found 7') == 3


# A module that cannot be imported, and an event loop that cannot listen.
FAILING_MODULES = {
    'httptools': "raise {error}('odd')\n",
    'uvloop': (
        'import asyncio\n'
        'class new_event_loop(asyncio.SelectorEventLoop):\n'
        '    async def create_server(self, *args, **kwargs):\n'
        "        raise {error}('odd')\n"
    ),
}


# Guards against an end by itself that leaves no line with its reason.
@pytest.mark.parametrize('module', FAILING_MODULES)
@pytest.mark.parametrize('error', ['RuntimeError', 'MemoryError'])
def test_unexpected_error_is_logged(daemon, tmp_path, module, error) -> None:
    """The last line has type, text and traceback; the exit code is 1."""
    folder = tmp_path / 'modules'
    folder.mkdir()
    text = FAILING_MODULES[module].format(error=error)
    (folder / f'{module}.py').write_text(text)
    daemon.start(str(folder))
    assert daemon.wait() == 1
    line = json.loads(daemon.log_path.read_bytes().splitlines()[-1])
    assert (line['event'], line['type']) == ('failed', error)
    assert line['error'] == 'odd'
    assert f'{module}.py' in line['traceback']


# Guards against an end by itself that leaves no line with its reason.
def test_crash_of_compiled_code_is_reported(daemon) -> None:
    """The output names the signal and what ran."""
    process = daemon.start()
    wait_until(lambda: daemon.accepts(LISTENERS['ready']))
    process.send_signal(signal.SIGSEGV)
    assert daemon.wait() == -signal.SIGSEGV
    text = daemon.log_path.read_text()
    assert 'Fatal Python error: Segmentation fault' in text
    assert 'process.py' in text


# Guards against processes that are killed behind the end of their stop, since
# the end of the interpreter takes long on a busy machine.
def test_process_is_gone_once_it_has_stopped(daemon, tmp_path) -> None:
    """What the interpreter does at its end is left out."""
    folder = tmp_path / 'modules'
    folder.mkdir()
    (folder / 'uvloop.py').write_text(
        'import atexit, time\n'
        'from asyncio import SelectorEventLoop as new_event_loop\n'
        'atexit.register(time.sleep, 30.0)\n'
    )
    with listen(daemon, LISTENERS['inbound']):
        process = daemon.start(str(folder))
        wait_until(lambda: 'address_unavailable' in daemon.events())
        process.send_signal(signal.SIGTERM)
        assert daemon.wait() == 0
    assert daemon.events()[-1] == 'stopped'
