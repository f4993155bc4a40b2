"""Runs a log service, daemons and upstreams as processes on loopback."""

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

from lab import ports as ports_module
from lab import relay

OPERATOR_TOKEN = 'operator-token-of-the-laboratory'
START_TIMEOUT_S = 20.0
PARTITIONS_PER_SERVICE = 3
_ROOT = pathlib.Path(__file__).resolve().parent.parent


class FleetError(Exception):
    """A process of the fleet ended, timed out or answered unexpectedly."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class DaemonSpec:
    """What to start: a daemon and the upstream beside it.

    Attributes:
        behaviour: Fields of lab.upstream.Behaviour for the upstream.
        announced_slots: Slots that the upstream announces; 0 for as many as
            it has.
        has_upstream: Whether an upstream is started beside the daemon.
        control: Value of the setting `control`.
        statsd: Address of a StatsD server, as host:port; None for no metrics.
        has_log_relay: Whether the daemon reaches the log through a relay.
        has_peer_relay: Whether other daemons reach this one through a relay.
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
    has_log_relay: bool = False
    has_peer_relay: bool = False


@dataclasses.dataclass(kw_only=True)
class RunningDaemon:
    """A daemon of the fleet with its addresses and processes.

    Attributes:
        spec: What the daemon was started from.
        caller_address: Address for callers, as host:port.
        local_address: Address for the upstream and operators, as host:port.
        peer_address: Address on which the daemon listens for peers, as
            host:port.
        upstream_address: Address of the upstream, as host:port.
        settings_path: Settings file of the daemon.
        log_address: Address at which the daemon reaches the log, as
            host:port; that of the relay if there is one.
        advertised_peer_address: Address that peers connect to, as host:port;
            that of the relay if there is one.
        daemon_process: Process of the daemon; None before it is started.
        upstream_process: Process of the upstream; None before it is started.
    """

    spec: DaemonSpec
    caller_address: str
    local_address: str
    peer_address: str
    upstream_address: str
    settings_path: pathlib.Path
    log_address: str
    advertised_peer_address: str
    daemon_process: subprocess.Popen | None = None
    upstream_process: subprocess.Popen | None = None


def request_json(
    method: str,
    url: str,
    value: object = None,
    *,
    token: str | None = None,
    timeout_s: float = 20.0,
) -> tuple[int, Any]:
    """Send a request and return the status and the body of the answer.

    The body is decoded from JSON, or returned as text if it is not JSON.

    Raises:
        OSError: The connection failed, or no answer came within timeout_s.
    """
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
            return answer.status, _decode_body(answer.read())
    except urllib.error.HTTPError as error:
        return error.code, _decode_body(error.read())


def _decode_body(body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError:
        return body.decode('latin-1')


class Fleet:
    """Processes of one experiment; a context manager starts and stops them."""

    def __init__(
        self,
        specs: list[DaemonSpec],
        *,
        start_timeout_s: float = START_TIMEOUT_S,
    ) -> None:
        """Choose addresses and write settings, without starting a process.

        Args:
            specs: The daemons and upstreams of the fleet.
            start_timeout_s: Longest wait until all daemons and upstreams
                serve.
        """
        self._start_timeout_s = start_timeout_s
        self._directory = tempfile.TemporaryDirectory(prefix='sassafraswood-')
        self._directory_path = pathlib.Path(self._directory.name)
        public, secret = zmq.curve_keypair()
        self._environment = {
            **os.environ,
            'PYTHONPATH': str(_ROOT),
            'SASSAFRASWOOD_OPERATOR_TOKEN': OPERATOR_TOKEN,
            'SASSAFRASWOOD_CURVE_PUBLIC_KEY': public.decode(),
            'SASSAFRASWOOD_CURVE_SECRET_KEY': secret.decode(),
        }
        self._log_process: subprocess.Popen | None = None
        ports = ports_module.reserve_ports(1 + 6 * len(specs))
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
            if spec.has_log_relay:
                self._log_relays[daemon_id] = relay.Relay(
                    listen=log, target=self.log_address
                )
            if spec.has_peer_relay:
                self._peer_relays[daemon_id] = relay.Relay(
                    listen=advertised, target=peer
                )
            self.daemons[daemon_id] = RunningDaemon(
                spec=spec,
                caller_address=caller,
                local_address=local,
                peer_address=peer,
                upstream_address=upstream,
                settings_path=self._directory_path / f'{daemon_id}.json',
                log_address=log if spec.has_log_relay else self.log_address,
                advertised_peer_address=advertised
                if spec.has_peer_relay
                else peer,
            )
        for daemon in self.daemons.values():
            self._write_settings(daemon)

    def __enter__(self) -> 'Fleet':
        """Start the fleet; stop it again if it does not start."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stop all processes."""
        self.stop()

    def start(self) -> None:
        """Start all processes and wait until the fleet serves."""
        self.start_log()
        self._start_relays()
        for daemon_id in self.daemons:
            self.start_daemon(daemon_id)
        for daemon_id, daemon in self.daemons.items():
            if daemon.spec.has_upstream:
                self.start_upstream(daemon_id)
        self.wait_until_ready()

    def start_log(self) -> None:
        """Start the simulated log service."""
        self._log_process = self._start_process(
            'log', ['-m', 'lab.log_service', self.log_address]
        )
        self._wait_until_listening(self.log_address)

    def _start_relays(self) -> None:
        if not self._log_relays and not self._peer_relays:
            return
        self._portal = self._relays.enter_context(
            anyio.from_thread.start_blocking_portal()
        )
        for each in (*self._log_relays.values(), *self._peer_relays.values()):
            task = self._portal.start_task_soon(each.async_run)
            self._relays.callback(task.cancel)

    def set_log_relay(self, daemon_id: str, mode: relay.RelayMode) -> None:
        """Set the mode of the relay between a daemon and the log."""
        assert self._portal is not None
        self._portal.call(self._log_relays[daemon_id].async_set_mode, mode)

    def set_peer_relay(self, daemon_id: str, mode: relay.RelayMode) -> None:
        """Set the mode of the relay before the peer address of a daemon.

        It carries only the connections that other daemons open to this one.
        """
        assert self._portal is not None
        self._portal.call(self._peer_relays[daemon_id].async_set_mode, mode)

    def start_daemon(self, daemon_id: str) -> None:
        """Start one daemon."""
        daemon = self.daemons[daemon_id]
        daemon.daemon_process = self._start_process(
            daemon_id,
            ['-m', 'sassafraswood', 'run', str(daemon.settings_path)],
        )

    def start_upstream(self, daemon_id: str) -> None:
        """Start the upstream beside a daemon."""
        daemon = self.daemons[daemon_id]
        daemon.upstream_process = self._start_process(
            f'{daemon_id}-upstream',
            [
                '-m',
                'lab.upstream',
                daemon.upstream_address,
                '--daemon',
                daemon.local_address,
                '--announced-slots',
                str(daemon.spec.announced_slots),
                '--behaviour',
                json.dumps(daemon.spec.behaviour),
                '--record',
                str(self._directory_path / f'{daemon_id}.requests'),
            ],
        )

    def wait_until_ready(self) -> None:
        """Wait until the members are known and all partitions have owners.

        Raises:
            FleetError: It took too long, or a daemon ended or answered with
                an error.
        """
        expected = {
            daemon_id
            for daemon_id, daemon in self.daemons.items()
            if daemon.spec.has_upstream
        }
        deadline = time.monotonic() + self._start_timeout_s
        for daemon_id in self.daemons:
            while not self._has_serving_members(daemon_id, expected):
                if time.monotonic() > deadline:
                    raise FleetError(
                        f'{daemon_id} does not list all upstreams as serving'
                    )
                time.sleep(0.1)
        for daemon_id, daemon in self.daemons.items():
            while daemon.spec.has_upstream and not self._has_all_partitions(
                daemon_id
            ):
                if time.monotonic() > deadline:
                    raise FleetError(
                        f'{daemon_id}: not all partitions have an owner'
                    )
                time.sleep(0.1)

    def _has_all_partitions(self, daemon_id: str) -> bool:
        partitions = self.fetch_status(daemon_id)['partitions']
        return len(partitions) == PARTITIONS_PER_SERVICE

    def stop(self) -> None:
        """Kill all processes of the fleet and remove its files."""
        processes = [self._log_process]
        for daemon in self.daemons.values():
            processes += [daemon.upstream_process, daemon.daemon_process]
        for process in processes:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            if process is not None:
                process.wait()
        self._relays.close()
        self._directory.cleanup()

    def signal_daemon(
        self, daemon_id: str, signal_number: signal.Signals
    ) -> None:
        """Send a signal to the process of a daemon."""
        process = self.daemons[daemon_id].daemon_process
        if process is not None:
            process.send_signal(signal_number)

    def signal_upstream(
        self, daemon_id: str, signal_number: signal.Signals
    ) -> None:
        """Send a signal to the process of an upstream."""
        process = self.daemons[daemon_id].upstream_process
        if process is not None:
            process.send_signal(signal_number)

    def wait_for_exit(self, daemon_id: str, timeout_s: float) -> int:
        """Wait until a daemon has ended and return its exit code.

        Raises:
            subprocess.TimeoutExpired: It still runs after timeout_s.
        """
        process = self.daemons[daemon_id].daemon_process
        if process is None:
            return 0
        return process.wait(timeout_s)

    def set_log_faults(self, **faults: Any) -> None:
        """Replace the faults of the log; see lab.log_service.Faults."""
        request_json('POST', f'http://{self.log_address}/control', faults)

    def send_operator_request(
        self, daemon_id: str, method: str, path: str, value: object = None
    ) -> tuple[int, Any]:
        """Send a request to the operator interface of a daemon."""
        local = self.daemons[daemon_id].local_address
        return request_json(
            method,
            f'http://{local}/operator/{path}',
            value,
            token=OPERATOR_TOKEN,
        )

    def fetch_status(self, daemon_id: str) -> dict[str, Any]:
        """Return the status of a daemon from its operator interface."""
        _, value = self.send_operator_request(daemon_id, 'GET', 'status')
        return value

    def fetch_recorded_requests(self, daemon_id: str) -> list[dict[str, Any]]:
        """Return the requests that the running upstream received."""
        address = self.daemons[daemon_id].upstream_address
        _, value = request_json('GET', f'http://{address}/_lab/requests')
        return value

    def read_recorded_requests(self, daemon_id: str) -> list[dict[str, Any]]:
        """Return the recorded requests of an upstream, across its restarts."""
        path = self._directory_path / f'{daemon_id}.requests'
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines()]

    def read_outputs(self) -> dict[str, str]:
        """Return the output of all processes by process name."""
        return {
            path.stem: path.read_text()
            for path in self._directory_path.glob('*.log')
        }

    def set_behaviour(self, daemon_id: str, **behaviour: Any) -> None:
        """Replace the behaviour of an upstream; see lab.upstream.Behaviour."""
        address = self.daemons[daemon_id].upstream_address
        request_json('POST', f'http://{address}/_lab/behaviour', behaviour)

    def read_output(self, name: str) -> str:
        """Return the output of a process; empty if it was not started."""
        path = self._directory_path / f'{name}.log'
        return path.read_text() if path.exists() else ''

    def _has_serving_members(self, daemon_id: str, expected: set[str]) -> bool:
        process = self.daemons[daemon_id].daemon_process
        if process is None or process.poll() is not None:
            raise FleetError(
                f'{daemon_id} ended during the start: '
                f'{self.read_output(daemon_id)[-2000:]}'
            )
        try:
            status, fleet = self.send_operator_request(
                daemon_id, 'GET', 'fleet'
            )
        except OSError:
            return False
        if status != 200:
            raise FleetError(
                f'{daemon_id}: {fleet} {self.read_output(daemon_id)[-2000:]}'
            )
        serving = {
            member['daemon_id']
            for member in fleet['members']
            if member['upstream_status'] in ('cold', 'ready')
        }
        return expected <= serving

    def _start_process(
        self, name: str, arguments: list[str]
    ) -> subprocess.Popen:
        output_file = (self._directory_path / f'{name}.log').open('ab')
        return subprocess.Popen(
            [sys.executable, *arguments],
            cwd=_ROOT,
            env=self._environment,
            stdin=subprocess.DEVNULL,
            stdout=output_file,
            stderr=output_file,
        )

    def _wait_until_listening(self, address: str) -> None:
        host, port = address.rsplit(':', 1)
        deadline = time.monotonic() + self._start_timeout_s
        while True:
            try:
                socket.create_connection((host, int(port)), 0.5).close()
                return
            except OSError:
                if time.monotonic() > deadline:
                    raise FleetError(
                        f'no process listens on {address}'
                    ) from None
                time.sleep(0.05)

    def _write_settings(self, daemon: RunningDaemon) -> None:
        spec = daemon.spec
        seed_daemons = list(self.daemons.values())[:2]
        settings = {
            'daemon_id': spec.daemon_id,
            'service': spec.service,
            'region': spec.region,
            'failure_domain': spec.failure_domain,
            'caller_listen': daemon.caller_address,
            'local_listen': daemon.local_address,
            'peer_listen': daemon.peer_address,
            'advertised_http_address': daemon.caller_address,
            'advertised_peer_address': daemon.advertised_peer_address,
            'log': {
                'url': f'http://{daemon.log_address}',
                'stream': 'sassafraswood',
            },
            'peers': [
                seed.advertised_peer_address
                for seed in seed_daemons
                if seed is not daemon
            ],
            'operator_token': {'env': 'SASSAFRASWOOD_OPERATOR_TOKEN'},
            'curve_secret_key': {'env': 'SASSAFRASWOOD_CURVE_SECRET_KEY'},
            'curve_public_key': {'env': 'SASSAFRASWOOD_CURVE_PUBLIC_KEY'},
            'control': spec.control,
        }
        if spec.statsd is not None:
            settings['statsd'] = {'address': spec.statsd}
        daemon.settings_path.write_text(json.dumps(settings, indent=2))
