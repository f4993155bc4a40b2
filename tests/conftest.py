"""Fixtures of all tests."""

import typing

import pytest


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, typing.Any]]:
    """Run asynchronous tests on the loop that the daemon uses."""
    return 'asyncio', {'use_uvloop': True}
