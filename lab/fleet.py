"""Starts a log, daemons and upstreams as processes on this machine."""

import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import types
from typing import Any
import urllib.error
import urllib.request

import anyio
import anyio.from_thread
import zmq

from lab import relay

OPERATOR_TOKEN = 'operator-token-of-the-laboratory'
START_TIMEOUT_S = 20.0
PARTITIONS = 3
_ROOT = pathlib.Path(__file__).resolve().parent.parent


class FleetError(Exception):
    """A process of the fleet did not do what it should."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class DaemonSpec:
    """A daemon and its upstream to start.

    Attributes:
        behaviour: Behaviour of the upstream (lab.upstream.Behaviour).
        announced_slots: Slots to announce; 0 announces the real ones.
        relay_log: The daemon reaches the log through a relay.
        relay_peer: Other daemons reach the daemon through a relay.
    """

    daemon_id: str
    service: str
    failure_domain: str
    region: str = 'region-1'
    behaviour: dict[str, Any] = dataclasses.field(default_factory=dict)
    announced_slots: int = 0
    has_upstream: bool = True
    control: str = 'full'
    statsd: str | None = None
    relay_log: bool = False
    relay_peer: bool = False


@dataclasses.dataclass(kw_only=True)
class RunningDaemon:
    """A started daemon with its addresses."""

    spec: DaemonSpec
    caller: str
    local: str
    peer: str
    upstream: str
    settings_path: pathlib.Path
    log: str
    advertised_peer: str
    process: subprocess.Popen | None = None
    upstream_process: subprocess.Popen | None = None


def free_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(('127.0.0.1', 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def http_json(
    method: str,
    url: str,
    value: object = None,
    *,
    token: str | None = None,
    timeout_s: float = 20.0,
) -> tuple[int, Any]:
    """Return status and decoded JSON body of a request."""
    headers = {'Content-Type': 'application/json'}
    if token is not None:
        headers['Authorization'] = f'Bearer {token}'
    request = urllib.request.Request(
        url,
        data=None if value is None else json.dumps(value).encode(),
        method=method,
        headers=headers,
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            return answer.status, _decode(answer.read())
    except urllib.error.HTTPError as error:
        return error.code, _decode(error.read())


def _decode(body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError:
        return body.decode('latin-1')


class Fleet:
    """Processes of one experiment; use it as a context manager."""

    def __init__(
        self,
        specs: list[DaemonSpec],
        *,
        start_timeout_s: float = START_TIMEOUT_S,
    ) -> None:
        """Choose addresses; nothing is started yet."""
        self._start_timeout_s = start_timeout_s
        self._directory = tempfile.TemporaryDirectory(prefix='sassafraswood-')
        self._path = pathlib.Path(self._directory.name)
        public, secret = zmq.curve_keypair()
        self._environment = {
            **os.environ,
            'PYTHONPATH': str(_ROOT),
            'SASSAFRASWOOD_OPERATOR_TOKEN': OPERATOR_TOKEN,
            'SASSAFRASWOOD_CURVE_PUBLIC_KEY': public.decode(),
            'SASSAFRASWOOD_CURVE_SECRET_KEY': secret.decode(),
        }
        self._log_process: subprocess.Popen | None = None
        ports = free_ports(1 + 6 * len(specs))
        self.log_address = f'127.0.0.1:{ports.pop()}'
        self.daemons: dict[str, RunningDaemon] = {}
        self._log_relays: dict[str, relay.Relay] = {}
        self._peer_relays: dict[str, relay.Relay] = {}
        self._relays = contextlib.ExitStack()
        self._portal: anyio.from_thread.BlockingPortal | None = None
        for spec in specs:
            daemon_id = spec.daemon_id
            addresses = [f'127.0.0.1:{ports.pop()}' for _ in range(6)]
            caller, local, peer, upstream, log, advertised = addresses
            if spec.relay_log:
                self._log_relays[daemon_id] = relay.Relay(
                    listen=log, target=self.log_address
                )
            if spec.relay_peer:
                self._peer_relays[daemon_id] = relay.Relay(
                    listen=advertised, target=peer
                )
            self.daemons[daemon_id] = RunningDaemon(
                spec=spec,
                caller=caller,
                local=local,
                peer=peer,
                upstream=upstream,
                settings_path=self._path / f'{daemon_id}.json',
                log=log if spec.relay_log else self.log_address,
                advertised_peer=advertised if spec.relay_peer else peer,
            )
        for daemon in self.daemons.values():
            self._write_settings(daemon)

    def __enter__(self) -> 'Fleet':
        """Start everything and wait until the daemons serve."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stop all processes."""
        self.stop()

    def start(self) -> None:
        """Start the log, the daemons and the upstreams."""
        self.start_log()
        self._start_relays()
        for daemon_id in self.daemons:
            self.start_daemon(daemon_id)
        for daemon_id, daemon in self.daemons.items():
            if daemon.spec.has_upstream:
                self.start_upstream(daemon_id)
        self.wait_ready()

    def start_log(self) -> None:
        """Start the stand-in of the platform's log."""
        self._log_process = self._spawn(
            'log', ['-m', 'lab.log_service', self.log_address]
        )
        self._wait_for(self.log_address)

    def _start_relays(self) -> None:
        if not self._log_relays and not self._peer_relays:
            return
        self._portal = self._relays.enter_context(
            anyio.from_thread.start_blocking_portal()
        )
        for item in (*self._log_relays.values(), *self._peer_relays.values()):
            task = self._portal.start_task_soon(item.async_run)
            self._relays.callback(task.cancel)

    def set_log_relay(self, daemon_id: str, mode: relay.RelayMode) -> None:
        """Change what happens between a daemon and the log."""
        assert self._portal is not None
        self._portal.call(self._log_relays[daemon_id].async_set_mode, mode)

    def set_peer_relay(self, daemon_id: str, mode: relay.RelayMode) -> None:
        """Change what happens on the connections of others to a daemon."""
        assert self._portal is not None
        self._portal.call(self._peer_relays[daemon_id].async_set_mode, mode)

    def start_daemon(self, daemon_id: str) -> None:
        """Start one daemon."""
        daemon = self.daemons[daemon_id]
        daemon.process = self._spawn(
            daemon_id,
            ['-m', 'sassafraswood', 'run', str(daemon.settings_path)],
        )

    def start_upstream(self, daemon_id: str) -> None:
        """Start the upstream beside a daemon."""
        daemon = self.daemons[daemon_id]
        daemon.upstream_process = self._spawn(
            f'{daemon_id}-upstream',
            [
                '-m',
                'lab.upstream',
                daemon.upstream,
                '--daemon',
                daemon.local,
                '--announced-slots',
                str(daemon.spec.announced_slots),
                '--behaviour',
                json.dumps(daemon.spec.behaviour),
                '--record',
                str(self._path / f'{daemon_id}.requests'),
            ],
        )

    def wait_ready(self) -> None:
        """Wait until each daemon knows the fleet and partitions are owned."""
        expected = {
            daemon_id
            for daemon_id, daemon in self.daemons.items()
            if daemon.spec.has_upstream
        }
        deadline = time.monotonic() + self._start_timeout_s
        for daemon_id in self.daemons:
            while not self._sees(daemon_id, expected):
                if time.monotonic() > deadline:
                    raise FleetError(f'{daemon_id} does not see the fleet')
                time.sleep(0.1)
        for daemon_id, daemon in self.daemons.items():
            while daemon.spec.has_upstream and not self._is_owned(daemon_id):
                if time.monotonic() > deadline:
                    raise FleetError(f'{daemon_id}: partitions not owned')
                time.sleep(0.1)

    def _is_owned(self, daemon_id: str) -> bool:
        partitions = self.status(daemon_id)['partitions']
        return len(partitions) == PARTITIONS

    def stop(self) -> None:
        """End all processes that this fleet started."""
        processes = [self._log_process]
        for daemon in self.daemons.values():
            processes += [daemon.upstream_process, daemon.process]
        for process in processes:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            if process is not None:
                process.wait()
        self._relays.close()
        self._directory.cleanup()

    def signal_daemon(self, daemon_id: str, number: signal.Signals) -> None:
        """Send a signal to a daemon."""
        process = self.daemons[daemon_id].process
        if process is not None:
            process.send_signal(number)

    def signal_upstream(self, daemon_id: str, number: signal.Signals) -> None:
        """Send a signal to an upstream."""
        process = self.daemons[daemon_id].upstream_process
        if process is not None:
            process.send_signal(number)

    def wait_stopped(self, daemon_id: str, timeout_s: float) -> int:
        """Return the exit code of a daemon that is stopping."""
        process = self.daemons[daemon_id].process
        if process is None:
            return 0
        return process.wait(timeout_s)

    def set_log_faults(self, **faults: Any) -> None:
        """Set faults of the log (lab.log_service.Faults)."""
        http_json('POST', f'http://{self.log_address}/control', faults)

    def operate(
        self, daemon_id: str, method: str, path: str, value: object = None
    ) -> tuple[int, Any]:
        """Send a request to the operators' interface of a daemon."""
        local = self.daemons[daemon_id].local
        return http_json(
            method,
            f'http://{local}/operator/{path}',
            value,
            token=OPERATOR_TOKEN,
        )

    def status(self, daemon_id: str) -> dict[str, Any]:
        """Return the status of a daemon."""
        _, value = self.operate(daemon_id, 'GET', 'status')
        return value

    def requests_seen(self, daemon_id: str) -> list[dict[str, Any]]:
        """Return the requests that an upstream saw."""
        address = self.daemons[daemon_id].upstream
        _, value = http_json('GET', f'http://{address}/_lab/requests')
        return value

    def requests_recorded(self, daemon_id: str) -> list[dict[str, Any]]:
        """Return the requests of an upstream, also from before a crash."""
        path = self._path / f'{daemon_id}.requests'
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines()]

    def outputs(self) -> dict[str, str]:
        """Return what all processes wrote, by name of the process."""
        return {
            path.stem: path.read_text() for path in self._path.glob('*.log')
        }

    def set_behaviour(self, daemon_id: str, **behaviour: Any) -> None:
        """Change the behaviour of an upstream."""
        address = self.daemons[daemon_id].upstream
        http_json('POST', f'http://{address}/_lab/behaviour', behaviour)

    def output(self, name: str) -> str:
        """Return what a process wrote."""
        path = self._path / f'{name}.log'
        return path.read_text() if path.exists() else ''

    def _sees(self, daemon_id: str, expected: set[str]) -> bool:
        process = self.daemons[daemon_id].process
        if process is None or process.poll() is not None:
            raise FleetError(
                f'{daemon_id} ended: {self.output(daemon_id)[-2000:]}'
            )
        try:
            status, fleet = self.operate(daemon_id, 'GET', 'fleet')
        except OSError:
            return False
        if status != 200:
            raise FleetError(
                f'{daemon_id}: {fleet} {self.output(daemon_id)[-2000:]}'
            )
        serving = {
            member['daemon_id']
            for member in fleet['members']
            if member['upstream_status'] in ('cold', 'ready')
        }
        return expected <= serving

    def _spawn(self, name: str, arguments: list[str]) -> subprocess.Popen:
        output = (self._path / f'{name}.log').open('ab')
        return subprocess.Popen(
            [sys.executable, *arguments],
            cwd=_ROOT,
            env=self._environment,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )

    def _wait_for(self, address: str) -> None:
        host, port = address.rsplit(':', 1)
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                socket.create_connection((host, int(port)), 0.5).close()
                return
            except OSError:
                if time.monotonic() > deadline:
                    raise FleetError(f'nothing listens at {address}') from None
                time.sleep(0.05)

    def _write_settings(self, daemon: RunningDaemon) -> None:
        spec = daemon.spec
        seeds = list(self.daemons.values())[:2]
        settings = {
            'daemon_id': spec.daemon_id,
            'service': spec.service,
            'region': spec.region,
            'failure_domain': spec.failure_domain,
            'caller_listen': daemon.caller,
            'local_listen': daemon.local,
            'peer_listen': daemon.peer,
            'advertised_http_address': daemon.caller,
            'advertised_peer_address': daemon.advertised_peer,
            'log': {
                'url': f'http://{daemon.log}',
                'stream': 'sassafraswood',
            },
            'peers': [
                seed.advertised_peer for seed in seeds if seed is not daemon
            ],
            'operator_token': {'env': 'SASSAFRASWOOD_OPERATOR_TOKEN'},
            'curve_secret_key': {'env': 'SASSAFRASWOOD_CURVE_SECRET_KEY'},
            'curve_public_key': {'env': 'SASSAFRASWOOD_CURVE_PUBLIC_KEY'},
            'control': spec.control,
        }
        if spec.statsd is not None:
            settings['statsd'] = {'address': spec.statsd}
        daemon.settings_path.write_text(json.dumps(settings, indent=2))
