"""Steps about processes and the connections between them."""

import signal
import time

from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from lab import relay
from tests.scenarios import world as world_module

World = world_module.World


@given(parsers.parse('the service "{service}" with {daemons:d} daemons'))
def _service(world: World, service: str, daemons: int) -> None:
    world.add_service(service, daemons)


@given(parsers.parse('the service "{service}" with 1 daemon'))
def _service_of_one(world: World, service: str) -> None:
    world.add_service(service, 1)


@given(parsers.parse('"{daemon}" reaches the log through a relay'))
def _log_relay(world: World, daemon: str) -> None:
    world.change_spec(daemon, relay_log=True)


@given(parsers.parse('other daemons reach "{daemon}" through a relay'))
def _peer_relay(world: World, daemon: str) -> None:
    world.change_spec(daemon, relay_peer=True)


@given(parsers.parse('the workspace "{workspace}"'))
def _workspace(world: World, workspace: str) -> None:
    world.limits[workspace] = dict(world_module.DEFAULT_LIMIT)


@given(
    parsers.parse(
        'the workspace "{workspace}" with a rate of {rate:d} calls/s and a '
        'burst of {burst:d}'
    )
)
def _limited_workspace(
    world: World, workspace: str, rate: int, burst: int
) -> None:
    world.limits[workspace] = {'rate': rate, 'burst': burst}


@given('the fleet is running')
def _start(world: World) -> None:
    world.start()


@when(parsers.parse('{seconds:g} s pass'))
def _pass(seconds: float) -> None:
    time.sleep(seconds)


@when(parsers.parse('"{daemon}" is paused'))
def _pause(world: World, daemon: str) -> None:
    world.fleet.signal_daemon(daemon, signal.SIGSTOP)


@when(parsers.parse('"{daemon}" is resumed'))
def _resume(world: World, daemon: str) -> None:
    world.fleet.signal_daemon(daemon, signal.SIGCONT)


@when(parsers.parse('"{daemon}" is killed'))
def _kill(world: World, daemon: str) -> None:
    world.fleet.signal_daemon(daemon, signal.SIGKILL)
    world.fleet.wait_stopped(daemon, world_module.WAIT_S)
    world.marks[f'{daemon} killed'] = time.monotonic()


@when(parsers.parse('"{daemon}" is started again'))
def _start_again(world: World, daemon: str) -> None:
    world.fleet.start_daemon(daemon)


@when(parsers.parse('the upstream of "{daemon}" is killed'))
def _kill_upstream(world: World, daemon: str) -> None:
    world.fleet.signal_upstream(daemon, signal.SIGKILL)


@when(parsers.parse('the upstream of "{daemon}" is started again'))
def _start_upstream(world: World, daemon: str) -> None:
    world.fleet.start_upstream(daemon)


@when(parsers.parse('the open connections to "{daemon}" go silent'))
def _silence(world: World, daemon: str) -> None:
    world.fleet.set_peer_relay(daemon, relay.RelayMode.SILENT_OPEN)


@when(parsers.parse('"{daemon}" is cut off from the log'))
def _cut_log(world: World, daemon: str) -> None:
    world.fleet.set_log_relay(daemon, relay.RelayMode.CUT)
    world.wait_for(
        lambda: not world.fleet.status(daemon)['is_log_readable'],
        f'{daemon} notices that it cannot read the log',
    )


@when('the log is down')
def _log_down(world: World) -> None:
    world.fleet.set_log_faults(down=True)


@when('the log is silent')
def _log_silent(world: World) -> None:
    world.fleet.set_log_faults(silent=True)


@when(parsers.parse('the log answers {seconds:g} s late'))
def _log_slow(world: World, seconds: float) -> None:
    world.fleet.set_log_faults(delay_s=seconds)


@when(parsers.parse('the log loses the answers of the next {count:d} appends'))
def _log_loses(world: World, count: int) -> None:
    world.fleet.set_log_faults(lose_answers=count)


@when('the log works again')
def _log_works(world: World) -> None:
    world.fleet.set_log_faults()


@then(parsers.parse('"{daemon}" serves again'))
def _serves_again(world: World, daemon: str) -> None:
    def is_serving() -> bool:
        try:
            member = world.fleet.status(daemon)['member']
        except OSError:
            return False
        return member['upstream_status'] in ('cold', 'ready')

    world.wait_for(is_serving, f'{daemon} serves')


@then('no process wrote a key')
def _no_key_written(world: World) -> None:
    for name, text in world.fleet.outputs().items():
        for workspace, key in world.keys.items():
            assert key not in text, f'{name} wrote the key of {workspace}'


@then('no upstream saw a key')
def _no_key_seen(world: World) -> None:
    for daemon_id in world.fleet.daemons:
        requests = world.fleet.requests_recorded(daemon_id)
        for request in requests:
            text = str(request)
            names = [name.lower() for name, _ in request['headers']]
            assert 'authorization' not in names, daemon_id
            for workspace, key in world.keys.items():
                assert key not in text, f'{daemon_id}: key of {workspace}'
    assert world.seen(), 'no upstream saw any call'
