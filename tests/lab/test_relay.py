import anyio
import pytest

from lab import relay


def _relay() -> relay.Relay:
    return relay.Relay(listen='127.0.0.1:0', target='127.0.0.1:1')


def test_relay_is_made_without_an_event_loop():
    assert _relay() is not None


@pytest.mark.anyio
async def test_relay_that_has_not_started_takes_a_mode():
    relayed = _relay()

    await relayed.async_set_mode(relay.RelayMode.REFUSE)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(relayed.async_run)
        await anyio.sleep(0.01)
        assert relayed.listening is False
        tasks.cancel_scope.cancel()
