"""Scenarios of leaving upstreams."""

import pytest_bdd

pytest_bdd.scenarios('features/leaving.feature')
