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
def _withdraw_key(world: World, workspace: str, daemon: str) -> None:
    status, result = world.operate(
        'keys/withdraw',
        {'publication_id': f'withdraw-{workspace}', 'key_id': workspace},
        daemon_id=daemon,
    )
    assert status == 200, result
    world.event_times_s['withdrawn'] = time.monotonic()


def _revised_document(world: World, service: str) -> dict[str, Any]:
    """Return a document that differs from the one in force."""
    changed = dict(world.documents[service])
    limit = {'rate': 10 + uuid.uuid4().int % 1000, 'burst': 10}
    changed['workspaces'] = {**changed['workspaces'], 'newcomer': limit}
    return changed


def _current_revision(world: World, service: str, daemon: str) -> int:
    return world.document_revisions(daemon)[service][0]


@when(
    sentences.sentence(
        'operators publish a revision of "{service:Name}" each at '
        '"{first:Name}" and "{second:Name}" at once'
    )
)
def _publish_twice(
    world: World, service: str, first: str, second: str
) -> None:
    replaces = _current_revision(world, service, first)
    world.results = []
    with futures.ThreadPoolExecutor(2) as pool:
        world.results = list(
            pool.map(
                lambda daemon: world.publish(
                    service,
                    replaces,
                    _revised_document(world, service),
                    daemon_id=daemon,
                ),
                (first, second),
            )
        )
    world.event_times_s['published'] = time.monotonic()


@then('one publication is accepted and the other is a conflict')
def _check_one_accepted(world: World) -> None:
    statuses = sorted(result['status'] for _, result in world.results)
    assert statuses == ['accepted', 'conflict'], world.results


@when(
    sentences.sentence(
        'an operator publishes a revision of "{service:Name}" at '
        '"{daemon:Name}"'
    )
)
def _publish(world: World, service: str, daemon: str) -> None:
    replaces = _current_revision(world, service, daemon)
    world.results = [
        world.publish(
            service,
            replaces,
            _revised_document(world, service),
            daemon_id=daemon,
        )
    ]
    world.event_times_s['published'] = time.monotonic()


@then('the publication is accepted')
def _check_accepted(world: World) -> None:
    status, result = world.results[-1]
    assert (status, result['status']) == (200, 'accepted'), result


@when(
    sentences.sentence(
        'an operator publishes a bad document of "{service:Name}" at '
        '"{daemon:Name}"'
    )
)
def _publish_bad(world: World, service: str, daemon: str) -> None:
    replaces = _current_revision(world, service, daemon)
    bad = {**world.documents[service], 'retry_allowance': -1}
    world.results = [world.publish(service, replaces, bad, daemon_id=daemon)]


@then('the document is refused')
def _check_document_refused(world: World) -> None:
    status, result = world.results[-1]
    assert (status, result['error']) == (422, 'invalid_document'), result


@when(
    sentences.sentence(
        'a bad document of "{service:Name}" is in the log nevertheless'
    )
)
def _append_bad_document(world: World, service: str) -> None:
    daemon = next(iter(world.specs))
    record = records.Publish(
        publication_id=uuid.uuid4().hex,
        service=service,
        replaces=_current_revision(world, service, daemon),
        document={**world.documents[service], 'retry_allowance': -1},
    )
    request = urllib.request.Request(
        f'http://{world.fleet.log_address}/streams/sassafraswood',
        data=codec.encode_record(record).encode(),
        method='POST',
    )
    with urllib.request.urlopen(request, timeout=20) as answer:
        assert answer.status == 201
    offset = world.fleet.fetch_status(daemon)['next_offset']
    world.wait_in_force(offset)


@then(
    sentences.sentence(
        'within {seconds:g} s every daemon has revision {revision:d} of '
        '"{service:Name}" in force'
    )
)
def _wait_in_force(
    world: World, seconds: float, revision: int, service: str
) -> None:
    def is_in_force() -> bool:
        found = {
            world.document_revisions(daemon).get(service)
            for daemon in world.running_daemons()
        }
        return len(found) == 1 and (found.pop() or (0, 0))[0] == revision

    world.wait_for(
        is_in_force,
        f'revision {revision} of {service} in force at every daemon',
        seconds,
    )


@then(
    sentences.sentence(
        '"{daemon:Name}" keeps revision {revision:d} of "{service:Name}" for '
        '{seconds:g} s'
    )
)
def _check_revision_kept(
    world: World, daemon: str, revision: int, service: str, seconds: float
) -> None:
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        assert _current_revision(world, service, daemon) == revision
        time.sleep(world_module.POLL_INTERVAL_S)
