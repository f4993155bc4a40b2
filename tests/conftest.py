"""Fixtures of all tests, and the handling of known failing tests."""

import gc
import pathlib
import signal
import typing

import pytest

_KNOWN_RED_PATH = (
    pathlib.Path(__file__).resolve().parent.parent / 'KNOWN-RED.txt'
)

pytest_plugins = [
    'tests.scenarios.steps.call_steps',
    'tests.scenarios.steps.fleet_steps',
    'tests.scenarios.steps.http_steps',
    'tests.scenarios.steps.operator_steps',
]


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, typing.Any]]:
    """Run asynchronous tests on the event loop that the daemon uses."""
    return 'asyncio', {'use_uvloop': True}


def _known_red_ids() -> set[str]:
    """Return the node ids of the lines "test: ..." in KNOWN-RED.txt."""
    if not _KNOWN_RED_PATH.exists():
        return set()
    return {
        line.removeprefix('test:').strip()
        for line in _KNOWN_RED_PATH.read_text().splitlines()
        if line.startswith('test:')
    }


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests of KNOWN-RED.txt, so that they run but may fail."""
    listed = _known_red_ids()
    for item in items:
        if item.nodeid in listed:
            # A listed test that passes is reported as XPASS, which shows
            # that its entry can be removed.
            item.add_marker(
                pytest.mark.xfail(reason='KNOWN-RED.txt', strict=False)
            )


_SIGNAL_HANDLERS = {
    number: signal.getsignal(number)
    for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)
}


def pytest_runtest_teardown() -> None:
    """Restore the handling of signals, which commands run by tests change.

    The processes of later tests would start with signals that are ignored.
    """
    for number, handler in _SIGNAL_HANDLERS.items():
        signal.signal(number, handler)


def pytest_runtest_setup(item: pytest.Item) -> None:
    """Exempt the objects of earlier tests from garbage collection.

    Tests of real processes run their callers, relays and store in this
    process. A full collection over the objects of all earlier tests stops them
    for up to 2 s, longer than the timeouts of the daemons.
    """
    if item.get_closest_marker('process') is not None:
        gc.collect()
        gc.freeze()


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the outcome of each listed test."""
    for outcome in ('xfailed', 'xpassed'):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(
                f'KNOWN-RED {outcome}: {report.nodeid}'
            )
