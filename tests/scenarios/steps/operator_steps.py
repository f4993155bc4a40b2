"""Steps of operators: publications, grants and withdrawals."""

import time

from pytest_bdd import parsers
from pytest_bdd import when

from tests.scenarios import world as world_module

World = world_module.World


@when(parsers.parse('the key of "{workspace}" is withdrawn at "{daemon}"'))
def _withdraw(world: World, workspace: str, daemon: str) -> None:
    status, result = world.operate(
        'keys/withdraw',
        {'publication_id': f'withdraw-{workspace}', 'key_id': workspace},
        daemon_id=daemon,
    )
    assert status == 200, result
    world.marks['withdrawn'] = time.monotonic()
