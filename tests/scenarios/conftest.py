"""Fixtures of the scenarios."""

from collections.abc import Iterator
import pathlib

import anyio.from_thread
import pytest

from tests.scenarios import world as world_module

_HERE = pathlib.Path(__file__).resolve().parent


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark all scenarios as tests that start processes."""
    for item in items:
        if _HERE in item.path.parents:
            item.add_marker(pytest.mark.process)


@pytest.fixture
def world() -> Iterator[world_module.World]:
    """Return the state of the scenario and end its processes after it."""
    with anyio.from_thread.start_blocking_portal() as portal:
        created = world_module.World(portal)
        try:
            yield created
        finally:
            created.stop()
