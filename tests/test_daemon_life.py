"""Tests of the life of the product's own daemon."""

import asyncio
import contextlib
import pathlib
import signal
import time

import pytest

from lab import fleet
from sassafraswood import daemon as daemon_module

NAME = 'van-1'
TIMEOUT_S = 30.0
SPEC = fleet.DaemonSpec(
    daemon_id=NAME, service='van', failure_domain='a', has_upstream=False
)


@pytest.fixture
def one_daemon():
    """Return a fleet of one daemon, whose process is not started yet."""
    running = fleet.Fleet([SPEC])
    running.start_log()
    yield running
    running.stop()


def start(running: fleet.Fleet) -> pathlib.Path:
    """Start the daemon; return the folder of its process in /proc."""
    running.start_daemon(NAME)
    process = running.daemons[NAME].daemon_process
    assert process is not None
    return pathlib.Path(f'/proc/{process.pid}')


# Guards against a start that a signal ends while modules are imported.
@pytest.mark.process
@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
def test_stop_signal_during_the_start_ends_with_exit_0(
    one_daemon, number
) -> None:
    """The daemon's servers are being imported at that moment."""
    process = start(one_daemon)
    end_at = time.monotonic() + TIMEOUT_S
    while '/httptools/' not in (process / 'maps').read_text():
        assert time.monotonic() < end_at
        time.sleep(0.001)
    one_daemon.signal_daemon(NAME, number)
    assert one_daemon.wait_for_exit(NAME, TIMEOUT_S) == 0


# Guards against a stop that a second signal cuts short.
@pytest.mark.process
def test_signals_until_the_process_is_gone_do_not_end_it(one_daemon) -> None:
    """The stop ends with exit 0."""
    start(one_daemon)
    one_daemon.wait_until_ready()
    process = one_daemon.daemons[NAME].daemon_process
    end_at = time.monotonic() + TIMEOUT_S
    while process.poll() is None and time.monotonic() < end_at:
        one_daemon.signal_daemon(NAME, signal.SIGTERM)
        time.sleep(0.001)
    assert process.poll() == 0


# Guards against a daemon that ends because of one error in periodic work.
def test_tick_goes_on_after_an_error() -> None:
    """The next tick follows."""
    calls: list[int] = []

    def fail() -> None:
        calls.append(1)
        raise RuntimeError('odd')

    async def async_main() -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                await daemon_module._async_repeat(0.01, fail)

    asyncio.run(async_main())
    assert len(calls) > 1
