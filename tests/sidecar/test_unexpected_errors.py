"""Tests of errors that nobody expected, while a daemon serves."""

import asyncio
import json
import math
import os
import random
import socket
import time

import pytest

from lab import ports
from lab import process_site
from sassafraswood.models import fleet
from sassafraswood.models import traffic
from sassafraswood.platform import settings as settings_module
from sassafraswood.platform import store as store_module
from sassafraswood.protocol import frames
from sassafraswood.sidecar import process
from sassafraswood.sidecar import rules_follower
from sassafraswood.sidecar import upstream_log
from sassafraswood.transport import json_log
from tests.sidecar import test_evacuation_exchange
from tests.sidecar import test_member_follower
from tests.sidecar import test_reload

TICK_COUNT = 3


def create_settings() -> settings_module.PlatformSettings:
    """Return settings of a first start with an address of their own."""
    (host,) = ports.reserve_hosts(1)
    return settings_module.parse(
        'bootstrap = true\n' + test_reload.TEXT.replace('127.0.0.1', host)
    )


class FailingTick:
    """Counts its calls and fails in each."""

    def __init__(self) -> None:
        """Initialize the count."""
        self.count = 0

    def __call__(self, *arguments) -> None:
        """Fail."""
        self.count += 1
        raise RuntimeError(f'tick {self.count}')


# Guards against a process that lives and does nothing after an error.
def test_other_ticks_follow_a_failed_one(monkeypatch) -> None:
    """Each part of the daemon is called in each tick, and errors logged."""
    reader, writer = os.pipe()
    ticks = [FailingTick() for _ in range(3)]

    async def async_main() -> None:
        daemon = process.Daemon(
            settings_module.parse(test_reload.TEXT), log_descriptor=writer
        )
        parts = (daemon._upstream, daemon._callers, daemon._peers)
        for part, tick in zip(parts, ticks, strict=True):
            monkeypatch.setattr(part, 'tick', tick)
        task = asyncio.create_task(daemon._async_tick())
        while ticks[-1].count < TICK_COUNT:
            await asyncio.sleep(0.01)
        task.cancel()
        daemon.close()

    asyncio.run(asyncio.wait_for(async_main(), 10.0))
    os.close(writer)
    with os.fdopen(reader) as lines:
        events = [json.loads(line) for line in lines]
    assert min(tick.count for tick in ticks) >= TICK_COUNT
    assert 'RuntimeError: tick 1' in events[0]['error']


# Guards against errors of callbacks that block on stderr or leave no line.
def test_error_of_a_callback_is_logged(monkeypatch) -> None:
    """The log has the traceback, and the daemon runs until its stop."""
    reader, writer = os.pipe()

    async def async_main() -> None:
        daemon = process.Daemon(create_settings(), log_descriptor=writer)
        task = asyncio.create_task(daemon.async_run())
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        loop.call_soon(FailingTick())
        await asyncio.sleep(0.1)
        daemon.stop()
        await task

    asyncio.run(asyncio.wait_for(async_main(), 10.0))
    os.close(writer)
    with os.fdopen(reader) as lines:
        events = [json.loads(line) for line in lines]
    errors = [item for item in events if item['event'] == 'unhandled_error']
    assert 'RuntimeError: tick 1' in errors[0]['error']
    assert events[-1]['event'] == 'stopped'


class FailingStore:
    """Fails the first calls with errors that are not of the store."""

    def __init__(self) -> None:
        """Initialize without stored records."""
        self.errors: list[Exception] = [ValueError('odd'), MemoryError()]
        self.keys: list[str] = []

    async def async_newest(self, topic: str) -> store_module.Page:
        """Fail, or return no records."""
        if self.errors:
            raise self.errors.pop()
        self.errors = [ValueError('odd')]
        return store_module.Page(records=[], next_offset=0)

    async def async_append(
        self, topic: str, record: store_module.StoredRecord
    ) -> None:
        """Fail, or note the key."""
        if self.errors:
            raise self.errors.pop()
        self.keys.append(record.key)


# Guards against leaves that are never stored after an unexpected error.
def test_leave_is_stored_after_unexpected_errors(
    monkeypatch, tmp_path
) -> None:
    """The records are read and written again."""
    monkeypatch.setattr(upstream_log, 'RETRY_PAUSE_S', 0.01)
    store = FailingStore()

    class Registry:
        def record_leaves(self, leaves, present) -> None:
            """Do nothing."""

    async def async_main(descriptor: int) -> None:
        stored = upstream_log.UpstreamLog(
            daemon_id='d1',
            random=random.Random(1),
            registry=Registry(),
            store=store,
            log=json_log.JsonLog('d1', descriptor),
            on_loaded=lambda present: None,
            on_crashes_loaded=lambda records: None,
        )
        stored.start(is_first_start=False)
        leave = fleet.UpstreamProcess(instance_id='i1', born=1)
        done = asyncio.Event()
        stored.record_leave(leave, done.set)
        while stored.has_unstored_records:
            await asyncio.sleep(0.01)
        await done.wait()

    with (tmp_path / 'log').open('wb') as log:
        asyncio.run(asyncio.wait_for(async_main(log.fileno()), 10.0))
    assert len(store.keys) == 1


# Guards against a stop that an error ends in the middle, so that it breaks off
# the requests that it should wait for.
@pytest.mark.parametrize(
    ('part', 'step'),
    [
        ('_shares', 'set_spending_start'),
        ('_upstream', 'stop'),
        ('_callers', 'refuse_new'),
        ('_callers', 'refuse_all'),
        ('_callers', 'end_all'),
        ('_caller_server', 'close_idle'),
        ('_caller_server', 'stop_listening'),
        ('_caller_server', 'count_states'),
        ('_caller_server', 'disconnect'),
        ('_rules', 'stop'),
        ('_peers', 'close'),
    ],
)
def test_stop_goes_on_after_an_error(monkeypatch, part, step) -> None:
    """It takes as long as planned, ends the rest and logs the error."""
    monkeypatch.setattr(process, 'CALLER_DRAIN_S', 0.3)
    monkeypatch.setattr(process, 'PEER_DRAIN_S', 0.2)
    settings = create_settings()
    reader, writer = os.pipe()

    async def async_main() -> float:
        daemon = process.Daemon(settings, log_descriptor=writer)
        task = asyncio.create_task(daemon.async_run())
        await asyncio.sleep(0.1)
        failing = FailingTick()
        monkeypatch.setattr(getattr(daemon, part), step, failing)
        stopped_at = time.monotonic()
        daemon.stop()
        await task
        assert failing.count
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(settings.ready_address)
        return time.monotonic() - stopped_at

    assert asyncio.run(asyncio.wait_for(async_main(), 10.0)) > 0.3
    os.close(writer)
    with os.fdopen(reader) as lines:
        text = lines.read()
    assert 'tick 1' in text
    assert json.loads(text.splitlines()[-1])['event'] == 'stopped'


class FailingConnection:
    """Raises an error whatever is done with it."""

    may_be_closed = True
    awaits_first_request = False
    has_calls = False
    silent_s = 0.0
    used_at = math.inf

    def __init__(self) -> None:
        """Initialize all that a daemon does with a connection."""
        self.act = FailingTick()
        self.send = self.close = self.tick = self.act
        self.close_if_unused = self.close_idle_soon = self.act
        self.close_if_slow = self.disconnect = self.act


# Guards against connections that are not told of a stop, not closed or not
# looked at, since an error of another one ended the loop over them.
@pytest.mark.parametrize(
    ('part', 'step', 'arguments', 'count'),
    [
        ('_peers', 'request_last_calls', (), 3),
        ('_peers', 'set_serving', (False,), 3),
        ('_peers', 'announce', (), 3),
        ('_peers', 'send_to_all', (frames.FetchRules(),), 6),
        ('_peers', 'tick', (), 3),
        ('_peers', 'close', (), 6),
        ('_caller_server', 'close_idle', (), 3),
        ('_caller_server', 'close_slow_connections', (0.0,), 3),
        ('_caller_server', 'disconnect', (), 3),
    ],
)
def test_error_of_a_connection_leaves_the_others(
    tmp_path, part, step, arguments, count
) -> None:
    """The step is taken for each of them, and each error is logged."""
    connections = [FailingConnection() for _ in range(3)]
    links = [FailingConnection() for _ in range(3)]

    async def async_main(descriptor: int) -> None:
        daemon = process.Daemon(create_settings(), log_descriptor=descriptor)
        daemon._peers._accepted = set(connections)
        daemon._peers._links = dict(enumerate(links))
        daemon._caller_server.connections = set(connections)
        getattr(getattr(daemon, part), step)(*arguments)
        daemon._log.flush()

    with (tmp_path / 'log').open('wb') as log:
        asyncio.run(async_main(log.fileno()))
    counts = [item.act.count for item in (*connections, *links)]
    assert counts.count(1) == sum(counts) == count
    errors = (tmp_path / 'log').read_text().splitlines()
    assert len(errors) == count
    assert all('RuntimeError: tick 1' in line for line in errors)


# Guards against an error, such as one with a path, whose log line fails and
# ends what would have gone on.
@pytest.mark.parametrize('value', ['\udcff', object()])
def test_any_value_can_be_logged(tmp_path, value) -> None:
    """It is logged as ASCII text if it cannot be encoded."""
    path = tmp_path / 'log'
    with path.open('wb') as file:
        log = json_log.JsonLog('d1', file.fileno())
        log.change('settings_awaited', error=value)
        log.flush()
    line = json.loads(path.read_text())
    assert line['event'] == 'settings_awaited'
    assert line['error'] == ascii(value)


# Guards against a daemon that vouches for rules that it failed to apply, or
# never serves since the first response with them was spoilt.
@pytest.mark.parametrize('is_spoilt', [False, True], ids=['error', 'spoilt'])
def test_rules_that_fail_to_apply_are_read_again(tmp_path, is_spoilt) -> None:
    """They are in force once that succeeds, and unknown before."""
    case = test_member_follower.Case(tmp_path)
    rules = process_site.build_rules(['status'])
    errors = [] if is_spoilt else [RuntimeError('odd')]
    known: list[int] = []
    applied = asyncio.Event()

    def store_rules(document: bytes) -> None:
        case.store.records = [
            store_module.StoredRecord(key='config', value=document)
        ]

    def apply(rules: traffic.TrafficRules) -> None:
        known.append(case.knowledge.rules_version)
        if errors:
            raise errors.pop()
        applied.set()

    evacuation_case = test_evacuation_exchange.Case(tmp_path)

    async def async_main() -> None:
        follower = rules_follower.RulesFollower(
            context=case.context,
            knowledge=case.knowledge,
            max_age_s=2.0,
            evacuations=evacuation_case.exchange,
            on_rules=apply,
            on_update=lambda: None,
        )
        store_rules(rules[:-1] if is_spoilt else rules)
        follower.start()
        await asyncio.sleep(0.1)
        store_rules(rules)
        await asyncio.wait_for(applied.wait(), 5.0)
        follower.stop()

    asyncio.run(async_main())
    assert set(known) == {-1}
    assert case.knowledge.rules_version == 1
