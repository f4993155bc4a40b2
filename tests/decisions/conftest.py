"""Registers the steps for all features of this directory."""

import pytest

from tests.decisions.steps import configuration
from tests.decisions.steps import crashes
from tests.decisions.steps import idempotency
from tests.decisions.steps import load
from tests.decisions.steps import members
from tests.decisions.steps import quota
from tests.decisions.steps import retries


def pytest_configure(config: pytest.Config) -> None:
    """Make each module of steps a plugin.

    A list in pytest_plugins is allowed at the root only.
    """
    for module in (
        configuration,
        crashes,
        idempotency,
        load,
        members,
        quota,
        retries,
    ):
        if not config.pluginmanager.is_registered(module):
            config.pluginmanager.register(module)
