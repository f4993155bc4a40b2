"""Tests of daemon processes under conditions that only real ones meet.

They look from outside only: at exit codes, at what each client got for each
request, and at what the upstreams ran.
"""

import asyncio
import ctypes
import functools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import sysconfig
import time

import pytest

from lab import process_site
from lab.soak import machine as machine_module

pytestmark = [pytest.mark.process, pytest.mark.anyio]

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Requests of the system call ptrace.
PTRACE_TRACEME, PTRACE_DETACH, PTRACE_SYSCALL = 0, 17, 24
# Argument of the system call personality.
ADDR_NO_RANDOMIZE = 0x0040000
LIBC = ctypes.CDLL(None)
SERVICES = ('near', 'far')
PIPELINED = 50
# Planned stops at once, and busy connections of each daemon.
STOPPED = ('stop-1', 'stop-2', 'stop-3')
BUSY_CONNECTIONS = 12
CALL_PAUSE_S = 0.01
# Time within which work at the upstream ends once the client has left.
ABANDON_S = 0.5
SHORT_LIMITS = {'header_timeout_s': 1.0, 'idle_timeout_s': 1.5}
ANSWER_BYTES = 8 << 20
READ_BYTES = 64 * 1024
READ_INTERVAL_S = 0.035
METRICS_PORT = 9464
# Time after SIGTERM from which a daemon refuses new requests, and a margin.
LATE_IN_STOP_S = 3.2
LATE_REQUESTS = 6
# Times that a client takes from its connection to its request; the longer one
# is that of a client on a busy machine.
SEND_DELAYS_S = (0.05, 0.7)
# Time after SIGTERM from which the upstream makes calls, their number and
# interval, and the run time of their service, from a time on.
INNER_CALLS_FROM_S = 3.6
INNER_CALLS = 26
INNER_INTERVAL_S = 0.05
SLOW_FROM_S = 4.5
SLOW_RUN_S = 0.8
# Least time that a stop without the store leaves of the grace time.
STOP_RESERVE_S = 0.7
# Time for which a process is paused.
PAUSE_S = 1.5
# Clients whose request is rejected before they have sent all of it.
REJECTED = 40
REJECTED_BYTES = 4 << 20


def get_status(response) -> int:
    """Return the status of a response, 0 without one."""
    return 0 if response is None else response.status


@pytest.fixture(scope='session')
def launcher(tmp_path_factory) -> str:
    """Return the path of the program that starts daemons when deployed."""
    path = str(tmp_path_factory.mktemp('launcher') / 'daemon')
    code = f'{ROOT}:{sysconfig.get_path("platlib")}'
    subprocess.run(
        ['sh', 'deploy/build_launcher', path],
        cwd=ROOT,
        env=dict(os.environ, PYTHON=sys.executable, PYTHONPATH=code),
        check=True,
    )
    return path


def is_blocked(pid: int, number: int) -> bool:
    """Return whether a process blocks a signal."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    _, _, rest = status.partition('SigBlk:')
    return bool(int(rest.split()[0], 16) & 1 << (number - 1))


def start_tracing() -> None:
    """Let the parent trace this process through its next program.

    The loader makes one call fewer for a library whose random address happens
    to be aligned, so addresses are fixed.
    """
    assert LIBC.personality(ADDR_NO_RANDOMIZE) != -1
    assert LIBC.ptrace(PTRACE_TRACEME, 0, None, None) == 0


def trace_calls(pid: int, is_last) -> int:
    """Let a traced child go on until it is in some state, or has ended.

    Args:
        pid: The child, which is stopped before its first instruction.
        is_last: Returns whether the state is reached.

    Returns:
        Number of times that it has entered or left a system call.
    """
    count = 0
    while True:
        _, status = os.waitpid(pid, 0)
        if not os.WIFSTOPPED(status) or is_last():
            return count
        assert LIBC.ptrace(PTRACE_SYSCALL, pid, None, None) == 0
        count += 1


@pytest.fixture(scope='session')
def calls_of_loader(tmp_path_factory) -> int:
    """Return how often the loader of any program enters or leaves a call."""
    path = tmp_path_factory.mktemp('empty') / 'empty'
    command = ['cc', '-O2', '-o', str(path), '-xc', '-', '-ldl']
    subprocess.run(command, input=b'int main(void) {return 0;}', check=True)
    process = subprocess.Popen([path], preexec_fn=start_tracing)
    # It enters its exit last, and is let go on once more.
    return trace_calls(process.pid, lambda: False) - 2


async def async_launch_blocked(
    site, name, number, calls_of_loader
) -> subprocess.Popen[bytes]:
    """Start a daemon for which a signal is blocked and pending."""
    del calls_of_loader

    def prepare() -> None:
        signal.pthread_sigmask(signal.SIG_BLOCK, [number])
        os.kill(os.getpid(), number)

    return site.launch(name, preexec_fn=prepare)


async def async_launch_traced(
    site, name, number, calls_of_loader
) -> subprocess.Popen[bytes]:
    """Start a daemon, and send a signal behind its first own system call.

    Before it, the system itself handles the signal for any program that is
    linked against the C library.
    """
    process = site.launch(name, preexec_fn=start_tracing)
    calls = trace_calls(process.pid, lambda: is_blocked(process.pid, number))
    assert calls <= calls_of_loader + 2
    process.send_signal(number)
    assert LIBC.ptrace(PTRACE_DETACH, process.pid, None, None) == 0
    return process


async def async_launch_and_wait(
    delay_s, site, name, number, calls_of_loader
) -> subprocess.Popen[bytes]:
    """Start a daemon, and send a signal after a delay."""
    del calls_of_loader
    process = site.launch(name)
    await asyncio.sleep(delay_s)
    process.send_signal(number)
    return process


# Start a daemon that gets a signal at some moment.
LAUNCHES = [
    pytest.param(async_launch_blocked, id='pending'),
    pytest.param(async_launch_traced, id='first call'),
    *(
        pytest.param(
            functools.partial(async_launch_and_wait, ms / 1000.0), id=f'{ms}ms'
        )
        for ms in (20, 50, 100)
    ),
]


# Guards against daemons that end by a reload of their settings.
@pytest.mark.parametrize('async_launch', LAUNCHES)
async def test_reloads_at_the_start_do_not_end_it(
    tmp_path, launcher, calls_of_loader, async_launch
) -> None:
    """A daemon gets ready although SIGHUPs come while it starts."""
    async with process_site.async_site(
        tmp_path, SERVICES[:1], has_daemons=False
    ) as site:
        site.first.command = [launcher]
        process = await async_launch(
            site, 'near', signal.SIGHUP, calls_of_loader
        )
        for _ in range(5):
            await asyncio.sleep(0.01)
            process.send_signal(signal.SIGHUP)
        await site.async_wait_ready('near', process)


# Guards against daemons that end by a signal in place of an orderly stop.
@pytest.mark.parametrize('async_launch', LAUNCHES)
async def test_stop_at_the_start_is_orderly(
    tmp_path, launcher, calls_of_loader, async_launch
) -> None:
    """A daemon exits with 0 although it is stopped while it starts."""
    numbers = {'near': signal.SIGTERM, 'far': signal.SIGINT}
    async with process_site.async_site(
        tmp_path, SERVICES, has_daemons=False
    ) as site:

        async def async_stop(name: str) -> int | None:
            site.machines[name].command = [launcher]
            process = await async_launch(
                site, name, numbers[name], calls_of_loader
            )
            return await site.async_end(
                process, None, process_site.START_TIMEOUT_S
            )

        codes = await asyncio.gather(*map(async_stop, numbers))
        assert dict(zip(numbers, codes, strict=True)) == {'near': 0, 'far': 0}


# Guards against VMs that stay without a daemon after a quick restart.
async def test_start_waits_for_the_ports_of_the_former(tmp_path) -> None:
    """A daemon serves once its predecessor has ended."""
    async with process_site.async_site(
        tmp_path, SERVICES[:1], has_daemons=False
    ) as site:
        former = site.launch('near')
        await site.async_wait_ready('near', former)
        former.send_signal(signal.SIGTERM)
        site.first.write_settings()
        process = site.launch('near')
        assert await site.async_end(former, None) == 0
        await site.async_wait_ready('near', process)
        await site.async_wait_served('near')


# Guards against VMs without a daemon if it starts while its file is written.
@pytest.mark.parametrize('share', [0.0, 0.5], ids=['empty', 'cut'])
async def test_start_waits_for_whole_settings(tmp_path, share) -> None:
    """A daemon serves once its settings file is whole."""
    async with process_site.async_site(
        tmp_path, SERVICES[:1], has_daemons=False
    ) as site:
        path = site.first.settings_path
        whole = path.read_bytes()
        path.write_bytes(whole[: int(share * len(whole))])
        process = site.launch('near')
        await asyncio.sleep(0.5)
        path.write_bytes(whole)
        await site.async_wait_ready('near', process)
        await site.async_wait_served('near')


# Guards against processes that end by SIGABRT, since the event loop asserts
# that it closes no descriptor of a standard stream.
@pytest.mark.parametrize('descriptor', [0, 1, 2])
async def test_start_without_standard_stream(tmp_path, descriptor) -> None:
    """A daemon serves and stops although a standard stream is closed."""
    async with process_site.async_site(
        tmp_path, SERVICES[:1], has_daemons=False
    ) as site:
        process = site.launch('near', preexec_fn=lambda: os.close(descriptor))
        await site.async_wait_ready('near', process)
        await site.async_wait_served('near')
        assert await site.async_end(process) == 0


# Guards against descriptors that are held for ever by silent connections.
@pytest.mark.parametrize(
    'port',
    [machine_module.READY, machine_module.REPORT, METRICS_PORT],
    ids=['ready', 'report', 'metrics'],
)
async def test_silent_connection_ends(tmp_path, port) -> None:
    """A connection on which nothing is sent ends, as that of a client."""
    rules = process_site.build_rules(SERVICES[:1], **SHORT_LIMITS)
    async with process_site.async_site(
        tmp_path, SERVICES[:1], rules=rules
    ) as site:
        client = await site.async_connect(port)
        assert await client.async_receive(timeout_s=5.0) is None


# Guards against HEAD requests that end as 504.
@pytest.mark.parametrize('service', SERVICES)
async def test_head_gets_the_length_of_a_get(tmp_path, service) -> None:
    """The length in an answer to HEAD announces no bytes."""
    async with process_site.async_site(tmp_path, SERVICES) as site:
        site.upstream(service).body = b'x' * 5000
        client = await site.async_connect()
        client.send(process_site.build_request(service, method='HEAD'))
        response = await client.async_receive(has_body=False)
        assert get_status(response) == 200
        assert response.fields['content-length'] == '5000'
        client.send(process_site.build_request(service))
        response = await client.async_receive()
        assert get_status(response) == 200
        assert response.body == b'x' * 5000


# Guards against pipelined requests that are read and not answered.
async def test_all_pipelined_requests_are_answered(tmp_path) -> None:
    """However many come at once, each is answered, in order."""
    rules = process_site.build_rules(SERVICES[:1], 20.0)
    async with process_site.async_site(
        tmp_path, SERVICES[:1], rules=rules
    ) as site:
        client = await site.async_connect()
        sent = [process_site.create_attempt_id() for _ in range(PIPELINED)]
        client.send(
            b''.join(
                process_site.build_request(
                    'near', attempt_id=attempt, deadline='20000'
                )
                for attempt in sent
            )
        )
        answered = []
        while len(answered) < PIPELINED:
            response = await client.async_receive(timeout_s=20.0)
            if response is None:
                break
            answered.append(response.fields.get('x-attempt-id'))
        assert answered == sent


# Guards against requests that run and are lost since their client ended its
# sending side after the last of them.
@pytest.mark.parametrize('length', [0, 1000], ids=['empty', 'body'])
@pytest.mark.parametrize('service', SERVICES)
async def test_answer_follows_a_half_close(tmp_path, service, length) -> None:
    """A client that has sent all of its requests still gets answers."""
    async with process_site.async_site(tmp_path, SERVICES) as site:
        site.upstream(service).delay_s = 0.3
        client = await site.async_connect()
        head = process_site.build_request(
            service, method='POST' if length else 'GET', length=length
        )
        client.send(head + b'x' * length)
        client.end_sending()
        assert get_status(await client.async_receive()) == 200


# Guards against upstreams that work on for clients that have left.
@pytest.mark.parametrize('how', ['close', 'reset'])
@pytest.mark.parametrize('service', SERVICES)
async def test_full_close_breaks_the_request_off(
    tmp_path, service, how
) -> None:
    """An idempotent request ends at the upstream with its connection."""
    rules = process_site.build_rules(SERVICES, 20.0)
    async with process_site.async_site(
        tmp_path, SERVICES, rules=rules
    ) as site:
        upstream = site.upstream(service)
        upstream.delay_s = 10.0
        client = await site.async_connect()
        attempt = process_site.create_attempt_id()
        client.send(
            process_site.build_request(
                service, attempt_id=attempt, deadline='20000'
            )
        )
        await site.async_wait_until(lambda: upstream.is_running(attempt), 5.0)
        getattr(client, how)()
        await site.async_wait_until(
            lambda: not upstream.is_running(attempt), ABANDON_S
        )


async def async_call_until_told(site: process_site.Site, name: str) -> bool:
    """Call until an answer says close; return whether one has said so."""
    client = await site.async_connect(name=name)
    while True:
        client.send(process_site.build_request('far'))
        response = await client.async_receive()
        if response is None:
            return False
        if response.fields.get('connection', '').lower() == 'close':
            client.close()
            return True
        await asyncio.sleep(CALL_PAUSE_S)


# Guards against requests that cross the close of their kept connection.
async def test_stop_announces_the_close_of_busy_connections(tmp_path) -> None:
    """Each busy connection ends with an answer that says so."""
    async with process_site.async_site(
        tmp_path, [*STOPPED, 'far'], has_daemons=False
    ) as site:
        processes = {name: site.launch(name) for name in site.machines}
        for name, process in processes.items():
            await site.async_wait_ready(name, process)
            await site.async_wait_served('far', name)
        calls = [
            asyncio.create_task(async_call_until_told(site, name))
            for name in STOPPED
            for _ in range(BUSY_CONNECTIONS)
        ]
        await asyncio.sleep(0.5)
        codes = await asyncio.gather(
            *(site.async_end(processes[name]) for name in STOPPED)
        )
        assert codes == [0, 0, 0]
        told = await asyncio.gather(*calls)
        assert told.count(False) == 0


# Guards against requests without an answer behind one that a stopping daemon
# refuses, when all of them arrive together.
async def test_pipelined_requests_late_in_a_stop_are_refused(tmp_path) -> None:
    """Each of them is, and none of them runs."""
    rules = process_site.build_rules(SERVICES[:1], 5.0)
    async with process_site.async_site(
        tmp_path, SERVICES[:1], rules=rules, has_daemons=False
    ) as site:
        process = site.launch('near')
        await site.async_wait_ready('near', process)
        await site.async_wait_served('near')
        upstream = site.upstream('near')
        # Keeps the daemon from ending earlier.
        upstream.delay_s = 4.0
        running = await site.async_connect()
        attempt = process_site.create_attempt_id()
        running.send(
            process_site.build_request(
                'near', attempt_id=attempt, deadline='5000'
            )
        )
        await site.async_wait_until(lambda: upstream.is_running(attempt), 2.0)
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(LATE_IN_STOP_S)
        late = await site.async_connect()
        late.send(process_site.build_request('near') * LATE_REQUESTS)
        statuses = [
            get_status(await late.async_receive())
            for _ in range(LATE_REQUESTS)
        ]
        assert statuses == [503] * LATE_REQUESTS
        assert get_status(await running.async_receive()) == 200
        assert await site.async_end(process, None) == 0


async def async_call_after_connecting(
    site: process_site.Site, send_delay_s: float
) -> int | None:
    """Connect, send a request a little later, and return its status.

    Returns:
        0 if there is no response, None if the connection is refused.
    """
    try:
        client = await site.async_connect()
    except ConnectionRefusedError:
        return None
    await asyncio.sleep(send_delay_s)
    client.send(process_site.build_request('near', close=True))
    response = await client.async_receive()
    client.close()
    return get_status(response)


# Guards against requests on new connections that meet the end of the process.
@pytest.mark.parametrize('send_delay_s', SEND_DELAYS_S)
async def test_connections_until_the_end_of_a_stop_are_answered(
    tmp_path, send_delay_s
) -> None:
    """Whoever is connected and sends a request gets an answer."""
    async with process_site.async_site(
        tmp_path, SERVICES[:1], has_daemons=False
    ) as site:
        process = site.launch('near')
        await site.async_wait_ready('near', process)
        await site.async_wait_served('near')
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(LATE_IN_STOP_S - 0.5)
        calls = []
        while process.poll() is None:
            calls.append(
                asyncio.create_task(
                    async_call_after_connecting(site, send_delay_s)
                )
            )
            await asyncio.sleep(CALL_PAUSE_S / 2.0)
        statuses = await asyncio.gather(*calls)
        assert statuses.count(0) == 0
        assert statuses.count(200) + statuses.count(503) > 10
        assert process.returncode == 0


async def async_call_as_upstream(site: process_site.Site) -> int:
    """Call a service from the address of a VM; return the status."""
    host = site.first.host
    connection = await asyncio.open_connection(
        host, machine_module.CALLER, local_addr=(host, 0)
    )
    client = process_site.RawClient(*connection)
    client.send(process_site.build_request('far', close=True))
    response = await client.async_receive()
    client.close()
    return get_status(response)


# Guards against calls of the local upstream that begin at the end of a stop
# and are broken off while they run, since their service has become slow.
async def test_calls_of_the_upstream_are_not_broken_off_by_a_stop(
    tmp_path,
) -> None:
    """Those that may not end in time are refused instead."""
    rules = process_site.build_rules(SERVICES, 6.0)
    async with process_site.async_site(
        tmp_path, SERVICES, rules=rules, has_daemons=False
    ) as site:
        process = site.launch('near')
        await site.async_wait_ready('near', process)
        await site.async_wait_ready('far', site.launch('far'))
        for service in SERVICES:
            await site.async_wait_served(service)
        # Shows how long such calls take.
        for _ in range(INNER_CALLS):
            assert await async_call_as_upstream(site) == 200
        site.upstream('near').delay_s = 5.0
        running = await site.async_connect()
        running.send(process_site.build_request('near', deadline='6000'))
        await site.async_wait_until(
            lambda: bool(site.upstream('near').streams), 2.0
        )
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(INNER_CALLS_FROM_S)
        calls = []
        for index in range(INNER_CALLS):
            if INNER_CALLS_FROM_S + index * INNER_INTERVAL_S >= SLOW_FROM_S:
                site.upstream('far').delay_s = SLOW_RUN_S
            calls.append(asyncio.create_task(async_call_as_upstream(site)))
            await asyncio.sleep(INNER_INTERVAL_S)
        statuses = await asyncio.gather(*calls)
        assert statuses[0] == 200
        assert set(statuses) == {200, 503}
        assert await site.async_end(process, None) == 0


# Guards against an interim response of one request that comes where the
# response to an earlier one is expected.
@pytest.mark.parametrize('service', SERVICES)
async def test_continue_follows_the_earlier_response(
    tmp_path, service
) -> None:
    """The client of the later request then sends its body, and is answered."""
    async with process_site.async_site(tmp_path, SERVICES) as site:
        site.upstream(service).delay_s = 0.3
        client = await site.async_connect()
        client.send(process_site.build_request(service))
        head = process_site.build_request(service, method='POST', length=4)
        client.send(head[:-2] + b'Expect: 100-continue\r\n\r\n')
        statuses = [get_status(await client.async_receive()) for _ in '12']
        assert statuses == [200, 100]
        client.send(b'body')
        response = await client.async_receive()
        assert get_status(response) == 200
        assert response.body.endswith(b' body')


# Guards against interim responses to clients that know none.
async def test_client_of_http_1_0_is_not_told_to_continue(tmp_path) -> None:
    """Its request is answered as if it had asked for nothing."""
    async with process_site.async_site(tmp_path, SERVICES[:1]) as site:
        client = await site.async_connect()
        head = process_site.build_request('near', method='POST', length=4)
        head = head.replace(b'HTTP/1.1', b'HTTP/1.0')
        client.send(head[:-2] + b'Expect: 100-continue\r\n\r\n')
        await asyncio.sleep(0.2)
        client.send(b'body')
        response = await client.async_receive()
        assert get_status(response) == 200


# Guards against requests without an answer behind a value that fails inside.
@pytest.mark.parametrize(
    ('port', 'data'),
    [
        (
            machine_module.CALLER,
            process_site.build_request('near', deadline='9' * 400),
        ),
        (
            machine_module.REPORT,
            b'POST //[x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n',
        ),
    ],
    ids=['deadline', 'target'],
)
async def test_odd_value_gets_an_answer(tmp_path, port, data) -> None:
    """It is answered in time; a refusal leaves a line with its reason."""
    async with process_site.async_site(tmp_path, SERVICES[:1]) as site:
        client = await site.async_connect(port)
        client.send(data)
        response = await client.async_receive(timeout_s=4.0)
        assert response is not None
        if response.status != 200:
            await site.async_wait_until(
                lambda: any('error' in line for line in site.read_log('near')),
                2.0,
            )


# Guards against answers that are cut off although their client reads them.
async def test_steady_reader_gets_its_answer(tmp_path) -> None:
    """The idle timeout does not end an answer that is being read."""
    rules = process_site.build_rules(SERVICES[:1], 10.0, **SHORT_LIMITS)
    async with process_site.async_site(
        tmp_path, SERVICES[:1], rules=rules
    ) as site:
        site.upstream('near').body = b'x' * ANSWER_BYTES
        client = await site.async_connect(receive_bytes=READ_BYTES)
        client.send(process_site.build_request('near', deadline='10000'))
        head = await client.reader.readuntil(b'\r\n\r\n')
        assert b' 200 ' in head
        received = 0
        while received < ANSWER_BYTES:
            part = await client.reader.read(READ_BYTES)
            if not part:
                break
            received += len(part)
            await asyncio.sleep(len(part) / READ_BYTES * READ_INTERVAL_S)
        assert received == ANSWER_BYTES


# Guards against uploads that are cut off although they make progress.
async def test_steady_upload_gets_its_answer(tmp_path) -> None:
    """The timeouts of a request do not end one that is being sent."""
    rules = process_site.build_rules(SERVICES[:1], 10.0, **SHORT_LIMITS)
    async with process_site.async_site(
        tmp_path, SERVICES[:1], rules=rules
    ) as site:
        client = await site.async_connect()
        client.send(
            process_site.build_request('near', method='POST', length=50_000)
        )
        for _ in range(50):
            await asyncio.sleep(0.1)
            client.send(b'x' * 1000)
        assert get_status(await client.async_receive()) == 200


def send_whole(host: str) -> int:
    """Send a good and a rejected request on one connection.

    Returns:
        The status of the second one; 0 if it cannot be sent as a whole.
    """
    address = host, machine_module.CALLER
    with socket.create_connection(address, 10.0) as connection:
        connection.sendall(process_site.build_request('near'))
        connection.recv(READ_BYTES)
        head = process_site.build_request(
            'near', method='POST', length=REJECTED_BYTES
        )
        try:
            connection.sendall(head + b'x' * REJECTED_BYTES)
        except ConnectionError:
            return 0
        return int(connection.recv(READ_BYTES).split()[1])


# Guards against clients that see a reset in place of the refusal, since the
# daemon closes the connection while bytes of the request are unread.
async def test_rejected_upload_meets_no_reset(tmp_path) -> None:
    """Each client can send its whole request and then read the refusal."""
    async with process_site.async_site(tmp_path, SERVICES[:1]) as site:
        statuses = [
            await asyncio.to_thread(send_whole, site.first.host)
            for _ in range(REJECTED)
        ]
        assert statuses == [413] * REJECTED


# Guards against stops that are too long and do not say what they wait for.
async def test_stop_says_what_it_waits_for(tmp_path) -> None:
    """A line each second, and one at the end of the wait."""
    async with process_site.async_site(
        tmp_path, SERVICES[:1], has_daemons=False
    ) as site:
        process = site.launch('near')
        await site.async_wait_ready('near', process)
        await site.async_wait_served('near')
        site.upstream('near').delay_s = 2.5
        client = await site.async_connect()
        client.send(process_site.build_request('near'))
        await site.async_wait_until(
            lambda: bool(site.upstream('near').streams), 2.0
        )
        assert await site.async_end(process) == 0
        assert get_status(await client.async_receive()) == 200
    first, *others, last = (
        (line['open_requests'], line['running'])
        for line in site.read_log('near')
        if line['event'] == 'stop_waits'
    )
    assert first == (1, 1)
    assert last == (0, 0)
    assert len(others) in (1, 2, 3)


# Guards against daemons that never serve beside a store that answers late.
@pytest.mark.parametrize('delay_s', [0.5, 1.5])
async def test_start_beside_a_slow_store(tmp_path, delay_s) -> None:
    """They serve after a few times the delay, and again after a kill."""
    async with process_site.async_site(
        tmp_path, SERVICES, has_daemons=False
    ) as site:
        site.store.delay_s = delay_s
        for _ in range(2):
            processes = [site.launch(name) for name in SERVICES]
            for service in SERVICES:
                await site.async_wait_served(service, timeout_s=9.0)
            for process in processes:
                await site.async_end(process, signal.SIGKILL)
            for machine in site.machines.values():
                machine.write_settings()


# Guards against a stop that a busy VM cannot end within the grace time, since
# it waits for the store alone up to the last moment.
async def test_stop_beside_a_lost_store_leaves_a_reserve(tmp_path) -> None:
    """The leave that could not be stored was acknowledged."""
    async with process_site.async_site(
        tmp_path, SERVICES[:1], has_daemons=False
    ) as site:
        process = site.launch('near')
        await site.async_wait_served('near')
        site.first.is_reporting = False
        site.store.is_down = True
        upstream = site.upstream('near')
        assert await upstream.async_deregister(machine_module.REPORT) == 200
        started_at = time.monotonic()
        assert await site.async_end(process) == 0
        left_s = machine_module.GRACE_S - (time.monotonic() - started_at)
        assert left_s > STOP_RESERVE_S


# Guards against processes that are killed at the end of their grace time, as
# they were held up when the signal came and count that time from later on.
async def test_stop_of_a_paused_process_ends_in_time(tmp_path) -> None:
    """It ends in order within the grace time, whatever runs."""
    rules = process_site.build_rules(SERVICES[:1], 20.0)
    async with process_site.async_site(
        tmp_path, SERVICES[:1], rules=rules, has_daemons=False
    ) as site:
        process = site.launch('near')
        await site.async_wait_ready('near', process)
        await site.async_wait_served('near')
        site.upstream('near').delay_s = 15.0
        client = await site.async_connect()
        client.send(process_site.build_request('near', deadline='20000'))
        await site.async_wait_until(
            lambda: bool(site.upstream('near').streams), 2.0
        )
        process.send_signal(signal.SIGSTOP)
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(PAUSE_S)
        process.send_signal(signal.SIGCONT)
        left_s = machine_module.GRACE_S - PAUSE_S
        assert await site.async_end(process, None, left_s) == 0
        assert get_status(await client.async_receive()) == 504
