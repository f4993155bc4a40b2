"""Steps about processes and the connections between them."""

import signal
import time

from pytest_bdd import given
from pytest_bdd import then
from pytest_bdd import when

from lab import fleet
from lab import relay
from tests.scenarios.steps import sentences
from tests.scenarios import world as world_module

World = world_module.World


@given(
    sentences.sentence('the service "{service:Name}" with {daemons:d} daemons')
)
def _add_service(world: World, service: str, daemons: int) -> None:
    world.add_service(service, daemons)


@given(
    sentences.sentence(
        'the service "{service:Name}" with {daemons:d} daemons in one failure '
        'domain'
    )
)
def _add_service_in_one_domain(
    world: World, service: str, daemons: int
) -> None:
    world.add_service(service, daemons, 'domain-1')


@given('calls are never retried')
def _disable_retries(world: World) -> None:
    world.retry_allowance = 0


@given(sentences.sentence('the service "{service:Name}" with 1 daemon'))
def _add_service_of_one(world: World, service: str) -> None:
    world.add_service(service, 1)


@given(sentences.sentence('"{daemon:Name}" reaches the log through a relay'))
def _relay_log(world: World, daemon: str) -> None:
    world.change_spec(daemon, has_log_relay=True)


@given(
    sentences.sentence('other daemons reach "{daemon:Name}" through a relay')
)
def _relay_peers(world: World, daemon: str) -> None:
    world.change_spec(daemon, has_peer_relay=True)


@given(sentences.sentence('the workspace "{workspace:Name}"'))
def _add_workspace(world: World, workspace: str) -> None:
    world.limits[workspace] = dict(world_module.DEFAULT_LIMIT)


@given(
    sentences.sentence(
        'the workspace "{workspace:Name}" with a rate of {rate:d} calls/s '
        'and a '
        'burst of {burst:d}'
    )
)
def _add_limited_workspace(
    world: World, workspace: str, rate: int, burst: int
) -> None:
    world.limits[workspace] = {'rate': rate, 'burst': burst}


@given('the fleet is running')
def _start_fleet(world: World) -> None:
    world.start()


@when(sentences.sentence('{seconds:g} s pass'))
def _wait(seconds: float) -> None:
    time.sleep(seconds)


@when(sentences.sentence('"{daemon:Name}" is paused'))
def _pause_daemon(world: World, daemon: str) -> None:
    world.fleet.signal_daemon(daemon, signal.SIGSTOP)


@when(sentences.sentence('"{daemon:Name}" is resumed'))
def _resume_daemon(world: World, daemon: str) -> None:
    world.fleet.signal_daemon(daemon, signal.SIGCONT)


@when(sentences.sentence('"{daemon:Name}" is killed'))
def _kill_daemon(world: World, daemon: str) -> None:
    world.fleet.signal_daemon(daemon, signal.SIGKILL)
    world.fleet.wait_for_exit(daemon, world_module.WAIT_TIMEOUT_S)
    world.event_times_s[f'{daemon} killed'] = time.monotonic()


@when(sentences.sentence('"{daemon:Name}" is started again'))
def _restart_daemon(world: World, daemon: str) -> None:
    world.fleet.start_daemon(daemon)


@when(sentences.sentence('the upstream of "{daemon:Name}" is killed'))
def _kill_upstream(world: World, daemon: str) -> None:
    world.fleet.signal_upstream(daemon, signal.SIGKILL)


@when(sentences.sentence('the upstream of "{daemon:Name}" is started again'))
def _start_upstream(world: World, daemon: str) -> None:
    world.fleet.start_upstream(daemon)


@when(sentences.sentence('the open connections to "{daemon:Name}" go silent'))
def _silence_connections(world: World, daemon: str) -> None:
    world.fleet.set_peer_relay(daemon, relay.RelayMode.SILENT_OPEN)


@when(sentences.sentence('"{daemon:Name}" is cut off from the log'))
def _cut_off_from_log(world: World, daemon: str) -> None:
    world.fleet.set_log_relay(daemon, relay.RelayMode.CUT)
    world.wait_for(
        lambda: not world.fleet.fetch_status(daemon)['is_log_readable'],
        f'{daemon} reports that it cannot read the log',
    )


@when('the log is down')
def _stop_log(world: World) -> None:
    world.fleet.set_log_faults(down=True)


@when('the log is silent')
def _silence_log(world: World) -> None:
    world.fleet.set_log_faults(silent=True)


@when(sentences.sentence('the log answers {seconds:g} s late'))
def _delay_log(world: World, seconds: float) -> None:
    world.fleet.set_log_faults(delay_s=seconds)


@when(
    sentences.sentence(
        'the log loses the answers of the next {count:d} appends'
    )
)
def _lose_log_answers(world: World, count: int) -> None:
    world.fleet.set_log_faults(lose_answers=count)


@when('the log works again')
def _clear_log_faults(world: World) -> None:
    world.fleet.set_log_faults()


@when(
    sentences.sentence(
        'the upstream of "{daemon:Name}" takes {seconds:g} s for each call'
    )
)
def _slow_down_upstream(world: World, daemon: str, seconds: float) -> None:
    world.fleet.set_behaviour(daemon, service_s=seconds, slots=32)


@when(sentences.sentence('the VM of "{daemon:Name}" is lost'))
def _lose_vm(world: World, daemon: str) -> None:
    world.fleet.signal_upstream(daemon, signal.SIGKILL)
    _kill_daemon(world, daemon)
    world.event_times_s[f'the loss of {daemon}'] = time.monotonic()


@when(sentences.sentence('the VM of "{daemon:Name}" is replaced'))
def _replace_vm(world: World, daemon: str) -> None:
    world.fleet.start_daemon(daemon)
    world.fleet.start_upstream(daemon)


@when(sentences.sentence('the upstream of "{daemon:Name}" drains'))
def _drain_upstream(world: World, daemon: str) -> None:
    local = world.fleet.daemons[daemon].local_address
    status, _ = fleet.request_json('POST', f'http://{local}/upstream/drain')
    assert status == 200
    world.event_times_s[f'{daemon} drains'] = time.time()


@then(sentences.sentence('"{daemon:Name}" serves again'))
def _wait_until_serving(world: World, daemon: str) -> None:
    world.wait_for_upstream(daemon)


@then('no process wrote a key')
def _check_no_key_in_output(world: World) -> None:
    for name, output in world.fleet.read_outputs().items():
        for workspace, key in world.keys.items():
            assert key not in output, f'{name} wrote the key of {workspace}'


@then('no upstream saw a key')
def _check_no_key_at_upstreams(world: World) -> None:
    for daemon_id in world.fleet.daemons:
        requests = world.fleet.read_recorded_requests(daemon_id)
        for request in requests:
            text = str(request)
            names = [name.lower() for name, _ in request['headers']]
            assert 'authorization' not in names, daemon_id
            for workspace, key in world.keys.items():
                assert key not in text, f'{daemon_id}: key of {workspace}'
    assert world.recorded_requests(), 'no upstream saw any call'
