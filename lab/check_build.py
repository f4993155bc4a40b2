"""Checks the built executable: help, settings, and a daemon without a log."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

import zmq

from lab import fleet
from lab import ports as ports_module

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_BUILT_FILE = _ROOT / 'dist' / 'sassafraswood'
_SECRET_SETTINGS = ('operator_token', 'curve_secret_key', 'curve_public_key')
_COMMAND_TIMEOUT_S = 60.0
_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 60.0


class CheckError(Exception):
    """The built executable failed a check."""


def main() -> None:
    """Run all checks and print their results.

    Raises:
        CheckError: A check failed.
    """
    with tempfile.TemporaryDirectory(prefix='sassafraswood-') as name:
        directory = pathlib.Path(name)
        environment = _build_environment(directory)
        _measure_start(directory, environment)
        settings = _write_settings(directory)
        _run_command(
            directory, environment, 'check', 'settings', str(settings)
        )
        print('check settings: done')
        _check_daemon(directory, environment, settings)


def _build_environment(directory: pathlib.Path) -> dict[str, str]:
    """Return environment variables that do not refer to the source tree."""
    public, secret = zmq.curve_keypair()
    return {
        'PATH': os.environ['PATH'],
        'SHIV_ROOT': str(directory / 'unpacked'),
        'SASSAFRASWOOD_OPERATOR_TOKEN': fleet.OPERATOR_TOKEN,
        'SASSAFRASWOOD_CURVE_PUBLIC_KEY': public.decode(),
        'SASSAFRASWOOD_CURVE_SECRET_KEY': secret.decode(),
    }


def _measure_start(
    directory: pathlib.Path, environment: dict[str, str]
) -> None:
    print(f'size: {_BUILT_FILE.stat().st_size} bytes')
    for name in ('first', 'second', 'third'):
        started_at = time.monotonic()
        _run_command(directory, environment, '--help')
        elapsed_s = time.monotonic() - started_at
        print(f'--help, {name} start: {elapsed_s:.2f} s')
    unpacked_bytes = sum(
        path.stat().st_size
        for path in (directory / 'unpacked').rglob('*')
        if path.is_file()
    )
    print(f'unpacked: {unpacked_bytes} bytes')


def _write_settings(directory: pathlib.Path) -> pathlib.Path:
    """Write the documented example settings and return their path."""
    settings = _read_example_settings()
    path = directory / 'example.json'
    path.write_text(json.dumps(settings))
    return path


def _read_example_settings() -> dict[str, Any]:
    """Return the example settings, with secrets from the environment."""
    text = (_ROOT / 'docs' / 'settings.example.json').read_text()
    settings = json.loads(text)
    for name in _SECRET_SETTINGS:
        settings[name] = {'env': f'SASSAFRASWOOD_{name.upper()}'}
    return settings


def _check_daemon(
    directory: pathlib.Path, environment: dict[str, str], example: pathlib.Path
) -> None:
    """Start a daemon without a log, read its status, and stop it."""
    ports = ports_module.reserve_ports(4)
    caller, local, peer, log = (f'127.0.0.1:{port}' for port in ports)
    settings = json.loads(example.read_text()) | {
        'caller_listen': caller,
        'local_listen': local,
        'peer_listen': peer,
        'advertised_http_address': caller,
        'advertised_peer_address': peer,
        'log': {'url': f'http://{log}', 'stream': 'sassafraswood'},
        'peers': [],
        'statsd': None,
    }
    path = directory / 'daemon.json'
    path.write_text(json.dumps(settings))
    output = directory / 'daemon.log'
    with output.open('wb') as file:
        process = subprocess.Popen(
            [_BUILT_FILE, 'run', path],
            cwd=directory,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=file,
            stderr=file,
        )
    try:
        _check_running_daemon(process, local)
        started_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        code = process.wait(_STOP_TIMEOUT_S)
        elapsed_s = time.monotonic() - started_at
        if code != 0:
            raise CheckError(
                f'the daemon ended with exit code {code} after SIGTERM'
            )
        print(f'daemon: stopped with 0 after {elapsed_s:.1f} s')
    except (CheckError, subprocess.TimeoutExpired) as error:
        text = output.read_text(errors='replace')[-2000:]
        raise CheckError(f'{error}\n{text}') from error
    finally:
        if process.poll() is None:
            process.kill()
            process.wait()


def _check_running_daemon(process: subprocess.Popen, local: str) -> None:
    status = _wait_for_status(process, local)
    if status['is_log_readable']:
        raise CheckError(
            'the daemon reports a readable log although there is none'
        )
    children = [
        child
        for path in pathlib.Path(f'/proc/{process.pid}/task').glob(
            '*/children'
        )
        for child in path.read_text().split()
    ]
    if children:
        raise CheckError(f'the daemon started child processes: {children}')
    print('daemon: serves without a log, started no process')


def _wait_for_status(process: subprocess.Popen, local: str) -> dict[str, Any]:
    deadline = time.monotonic() + _START_TIMEOUT_S
    while True:
        if process.poll() is not None:
            raise CheckError(
                f'the daemon ended with exit code {process.returncode}'
            )
        try:
            code, value = fleet.request_json(
                'GET',
                f'http://{local}/operator/status',
                token=fleet.OPERATOR_TOKEN,
            )
        except OSError as error:
            if time.monotonic() > deadline:
                raise CheckError(
                    f'the daemon did not report its status: {error}'
                ) from error
            time.sleep(0.1)
            continue
        if code != 200:
            raise CheckError(
                f'the status request was answered with {code}: {value}'
            )
        return value


def _run_command(
    directory: pathlib.Path, environment: dict[str, str], *arguments: str
) -> None:
    result = subprocess.run(
        [_BUILT_FILE, *arguments],
        cwd=directory,
        env=environment,
        capture_output=True,
        text=True,
        timeout=_COMMAND_TIMEOUT_S,
        check=False,
    )
    if result.returncode != 0:
        raise CheckError(
            f'{arguments} ended with exit code {result.returncode}\n'
            f'{result.stderr}'
        )


if __name__ == '__main__':
    try:
        main()
    except CheckError as failure:
        sys.exit(f'failed: {failure}')
