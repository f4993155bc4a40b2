"""Steps of operators: publications, grants and withdrawals."""

from concurrent import futures
import time
from typing import Any
import urllib.request
import uuid

from pytest_bdd import then
from pytest_bdd import when

from sassafraswood.models import records
from sassafraswood.protocol import codec
from tests.scenarios.steps import sentences
from tests.scenarios import world as world_module

World = world_module.World


@when(
    sentences.sentence(
        'the key of "{workspace:Name}" is withdrawn at "{daemon:Name}"'
    )
)
def _withdraw(world: World, workspace: str, daemon: str) -> None:
    status, result = world.operate(
        'keys/withdraw',
        {'publication_id': f'withdraw-{workspace}', 'key_id': workspace},
        daemon_id=daemon,
    )
    assert status == 200, result
    world.marks['withdrawn'] = time.monotonic()


def _revised(world: World, service: str) -> dict[str, Any]:
    """Return another document than the one in force."""
    changed = dict(world.documents[service])
    limit = {'rate': 10 + uuid.uuid4().int % 1000, 'burst': 10}
    changed['workspaces'] = {**changed['workspaces'], 'newcomer': limit}
    return changed


def _revision(world: World, service: str, daemon: str) -> int:
    return world.revisions(daemon)[service][0]


@when(
    sentences.sentence(
        'operators publish a revision of "{service:Name}" each at '
        '"{first:Name}" and "{second:Name}" at once'
    )
)
def _publish_twice(
    world: World, service: str, first: str, second: str
) -> None:
    replaces = _revision(world, service, first)
    world.results = []
    with futures.ThreadPoolExecutor(2) as pool:
        world.results = list(
            pool.map(
                lambda daemon: world.publish(
                    service,
                    replaces,
                    _revised(world, service),
                    daemon_id=daemon,
                ),
                (first, second),
            )
        )
    world.marks['published'] = time.monotonic()


@then('one publication is accepted and the other is a conflict')
def _one_wins(world: World) -> None:
    ends = sorted(result['status'] for _, result in world.results)
    assert ends == ['accepted', 'conflict'], world.results


@when(
    sentences.sentence(
        'an operator publishes a revision of "{service:Name}" at '
        '"{daemon:Name}"'
    )
)
def _publish(world: World, service: str, daemon: str) -> None:
    replaces = _revision(world, service, daemon)
    world.results = [
        world.publish(
            service, replaces, _revised(world, service), daemon_id=daemon
        )
    ]
    world.marks['published'] = time.monotonic()


@then('the publication is accepted')
def _accepted(world: World) -> None:
    status, result = world.results[-1]
    assert (status, result['status']) == (200, 'accepted'), result


@when(
    sentences.sentence(
        'an operator publishes a bad document of "{service:Name}" at '
        '"{daemon:Name}"'
    )
)
def _publish_bad(world: World, service: str, daemon: str) -> None:
    replaces = _revision(world, service, daemon)
    bad = {**world.documents[service], 'retry_allowance': -1}
    world.results = [world.publish(service, replaces, bad, daemon_id=daemon)]


@then('the document is refused')
def _refused(world: World) -> None:
    status, result = world.results[-1]
    assert (status, result['error']) == (422, 'invalid_document'), result


@when(
    sentences.sentence(
        'a bad document of "{service:Name}" is in the log nevertheless'
    )
)
def _append_bad(world: World, service: str) -> None:
    daemon = next(iter(world.specs))
    record = records.Publish(
        publication_id=uuid.uuid4().hex,
        service=service,
        replaces=_revision(world, service, daemon),
        document={**world.documents[service], 'retry_allowance': -1},
    )
    request = urllib.request.Request(
        f'http://{world.fleet.log_address}/streams/sassafraswood',
        data=codec.encode_record(record).encode(),
        method='POST',
    )
    with urllib.request.urlopen(request, timeout=20) as answer:
        assert answer.status == 201
    offset = world.fleet.status(daemon)['next_offset']
    world.wait_in_force(offset)


@then(
    sentences.sentence(
        'within {seconds:g} s every daemon has revision {revision:d} of '
        '"{service:Name}" in force'
    )
)
def _in_force(
    world: World, seconds: float, revision: int, service: str
) -> None:
    def is_in_force() -> bool:
        found = {
            world.revisions(daemon).get(service) for daemon in world.living()
        }
        return len(found) == 1 and (found.pop() or (0, 0))[0] == revision

    world.wait_for(is_in_force, f'revision {revision} of {service}', seconds)


@then(
    sentences.sentence(
        '"{daemon:Name}" keeps revision {revision:d} of "{service:Name}" for '
        '{seconds:g} s'
    )
)
def _keeps(
    world: World, daemon: str, revision: int, service: str, seconds: float
) -> None:
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        assert _revision(world, service, daemon) == revision
        time.sleep(world_module.POLL_S)
