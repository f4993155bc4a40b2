import anyio
import pytest

from lab import relay


def _create_relay() -> relay.Relay:
    return relay.Relay(listen='127.0.0.1:0', target='127.0.0.1:1')


def test_relay_can_be_created_without_an_event_loop():
    assert _create_relay() is not None


@pytest.mark.anyio
async def test_mode_can_be_set_before_the_relay_starts():
    tcp_relay = _create_relay()

    await tcp_relay.async_set_mode(relay.RelayMode.REFUSE)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(tcp_relay.async_run)
        await anyio.sleep(0.01)
        assert tcp_relay.is_listening is False
        tasks.cancel_scope.cancel()
