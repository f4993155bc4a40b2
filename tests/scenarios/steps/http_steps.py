"""Steps about HTTP requests that a daemon refuses."""

from concurrent import futures
import json
import select
import socket
import time

from pytest_bdd import given
from pytest_bdd import then
from pytest_bdd import when

from tests.scenarios.steps import sentences
from tests.scenarios import world as world_module

World = world_module.World

_KIB_BYTES = 1024
# Longer than the time after which a daemon refuses an unfinished request.
_RECEIVE_TIMEOUT_S = 20.0


@given('the daemons send their counters to a listener')
def _listen_for_counters(world: World) -> None:
    listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    listener.bind(('127.0.0.1', 0))
    world.statsd_listener = listener
    address = f'127.0.0.1:{listener.getsockname()[1]}'
    for daemon_id in world.specs:
        world.change_spec(daemon_id, statsd=address)


def _request_bytes(world: World, kind: str) -> bytes:
    """Return the bytes of a request; unfinished ones send no more."""
    key = next(iter(world.keys.values()))
    head = f'Host: x\r\nAuthorization: Bearer {key}\r\n'
    get = f'GET /van-booking/vans/today HTTP/1.1\r\n{head}'
    put = f'PUT /van-booking/vans/today HTTP/1.1\r\n{head}'
    size = _KIB_BYTES * _KIB_BYTES + 1
    slow = 'GET /van-booking/short?service_s=3 HTTP/1.1\r\n'
    texts = {
        'malformed HTTP': 'BAD\x00 REQUEST\r\n\r\n',
        'headers of 20 KB': f'{get}X-Filler: {"x" * 20 * _KIB_BYTES}\r\n\r\n',
        'a body of 1 MiB and a byte': (
            f'{put}Content-Length: {size}\r\n\r\n{"x" * size}'
        ),
        'headers that never end': get,
        'a body that never ends': f'{put}Content-Length: 10\r\n\r\nhalf',
        'a timeout that is no number': (
            f'{get}Request-Timeout-Ms: soon\r\n\r\n'
        ),
        'an unknown service': f'GET /no-such/vans HTTP/1.1\r\n{head}\r\n',
        'an unknown route': f'GET /van-booking/x HTTP/1.1\r\n{head}\r\n',
        'a call longer than its deadline': f'{slow}{head}\r\n',
    }
    return texts[kind].encode('latin-1')


def _exchange(address: str, data: bytes) -> tuple[int, dict[str, str], bytes]:
    """Send raw bytes and return status, headers and body of the answer."""
    host, port = address.rsplit(':', 1)
    received = b''
    with socket.create_connection((host, int(port)), 10) as connection:
        connection.settimeout(_RECEIVE_TIMEOUT_S)
        connection.sendall(data)
        while not _is_complete(received):
            part = connection.recv(65536)
            if not part:
                break
            received += part
    head, _, body = received.partition(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    pairs = [line.partition(':') for line in lines[1:]]
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    return int(lines[0].split(' ')[1]), headers, body


def _is_complete(received: bytes) -> bool:
    head, mark, body = received.partition(b'\r\n\r\n')
    for line in head.decode('latin-1').lower().split('\r\n'):
        if mark and line.startswith('content-length:'):
            return len(body) >= int(line.partition(':')[2])
    return False


@when(
    sentences.sentence(
        'callers of "{daemon:Name}" send these requests, each is refused:'
    )
)
def _check_refusals(
    world: World, daemon: str, datatable: list[list[str]]
) -> None:
    rows = datatable[1:]
    address = world.fleet.daemons[daemon].caller_address
    with futures.ThreadPoolExecutor(len(rows)) as pool:
        answers = list(
            pool.map(
                lambda row: _exchange(address, _request_bytes(world, row[0])),
                rows,
            )
        )
    found = []
    for row, (status, headers, body) in zip(rows, answers, strict=True):
        problem = json.loads(body) if body else {}
        found.append(
            [
                row[0],
                str(status),
                problem.get('reason', ''),
                problem.get('run', ''),
            ]
        )
        assert headers.get('content-type') == 'application/problem+json', row
        assert headers.get('sassafraswood-run') == problem['run'], row
        assert problem['status'] == status, row
    assert found == rows
    world.results = [(0, row[2]) for row in rows]


@then('each of these reasons was counted by a counter of its own')
def _check_reasons_are_counted(world: World) -> None:
    expected = {
        f'sassafraswood.refused.{reason}' for _, reason in world.results
    }
    counted: set[str] = set()
    deadline = time.monotonic() + world_module.WAIT_TIMEOUT_S
    while not expected <= counted and time.monotonic() < deadline:
        if not select.select([world.statsd_listener], [], [], 1.0)[0]:
            continue
        for line in world.statsd_listener.recv(65536).decode().splitlines():
            name, _, value = line.partition(':')
            if value.endswith('|c'):
                counted.add(name)
    assert expected <= counted, expected - counted
