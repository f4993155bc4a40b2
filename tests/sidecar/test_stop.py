"""Tests of the times of a stop, without other processes."""

import asyncio

import pytest

from lab import ports
from sassafraswood.platform import settings as settings_module
from sassafraswood.sidecar import process
from tests.sidecar import test_reload

DRAIN_S = 0.6


# Guards against callers that are refused before they can know of a stop, and
# calls of peers that are lost, since the process was held up at the signal.
@pytest.mark.parametrize('held_up_s', [0.0, 2.0, 9.0])
def test_drains_begin_when_a_stop_is_noticed(
    monkeypatch, tmp_path, held_up_s
) -> None:
    """They last as long as the grace time allows; peers are always asked."""
    monkeypatch.setattr(process, 'CALLER_DRAIN_S', DRAIN_S)
    monkeypatch.setattr(process, 'PEER_DRAIN_S', DRAIN_S - 0.2)
    (host,) = ports.reserve_hosts(1)
    settings = settings_module.parse(
        'bootstrap = true\n' + test_reload.TEXT.replace('127.0.0.1', host)
    )
    taken_s: dict[str, float] = {}

    async def async_main(descriptor: int) -> None:
        loop = asyncio.get_running_loop()
        daemon = process.Daemon(settings, log_descriptor=descriptor)
        task = asyncio.create_task(daemon.async_run())
        await asyncio.sleep(0.1)
        noticed_at = loop.time()
        for part, step in (
            (daemon._callers, 'refuse_new'),
            (daemon._peers, 'request_last_calls'),
        ):
            monkeypatch.setattr(
                part,
                step,
                lambda name=step: taken_s.update(
                    {name: loop.time() - noticed_at}
                ),
            )
        daemon.stop(noticed_at - held_up_s)
        await task

    with (tmp_path / 'log').open('wb') as log:
        asyncio.run(asyncio.wait_for(async_main(log.fileno()), 10.0))
    assert set(taken_s) == {'refuse_new', 'request_last_calls'}
    is_in_time = held_up_s < settings.bounds.grace_s
    assert (taken_s['refuse_new'] >= DRAIN_S) == is_in_time
