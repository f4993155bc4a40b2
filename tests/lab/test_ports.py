"""Tests of the reservation of ports."""

import socket
import subprocess
import sys

from lab import ports


def test_reserved_port_is_free_for_a_listener() -> None:
    """Only other reservations are kept from it."""
    (port,) = ports.reserve_ports(1)
    with socket.create_server((ports.HOST, port)):
        pass


# Guards against tests that fail since another process took their port.
def test_other_process_does_not_reserve_the_same_port() -> None:
    """A reservation lasts until the end of its process."""
    taken = ports.reserve_ports(10)
    code = (
        'from lab import ports\n'
        f'ports._FIRST_PORT = {taken[0]}\n'
        f'ports._LAST_PORT = {taken[0] + 1}\n'
        'try:\n'
        '    ports.reserve_ports(1)\n'
        'except OSError:\n'
        '    print("none")\n'
    )
    result = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        check=True,
    )
    assert result.stdout == 'none\n'
