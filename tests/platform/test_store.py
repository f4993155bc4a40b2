"""Tests of the client of the platform's store."""

import asyncio
import math
import socket
import threading
import time

import pytest
import uvloop

from lab import platform_store
from sassafraswood import exceptions
from sassafraswood.platform import store
from sassafraswood.transport import exchange


def make_response(status: int) -> exchange.Response:
    """Return a response without a body."""
    return exchange.Response(status=status, head=b'', fields={}, body=b'')


@pytest.mark.parametrize('status', [429, 503, 507])
def test_refused_call_had_no_effect(status: int) -> None:
    """The store says that it did nothing."""
    with pytest.raises(exceptions.LogUnavailableError):
        store._check_status(make_response(status))


# Guards against taking any failure for a proof that nothing was appended.
@pytest.mark.parametrize('status', [202, 500, 502, 504])
def test_outcome_of_other_failures_is_unknown(status: int) -> None:
    """The record may have been appended."""
    with pytest.raises(exceptions.LogOutcomeUnknownError):
        store._check_status(make_response(status))


# Guards against reads that repeat without a pause: a page that ends within a
# record seems to be empty, and pages may follow each other without end.
@pytest.mark.parametrize('cut', [1, 3, 5, 7])
def test_page_that_is_cut_short_is_rejected(cut: int) -> None:
    """The record is read again later."""
    body = bytes(7) + b'\x01' + bytes(8) + b'\x00\x00\x00\x04\x01kvv'
    assert len(store._parse_page(body, 0).records) == 1
    with pytest.raises(exceptions.DecodeError):
        store._parse_page(body[:-cut], 0)


def test_newest_records_end(monkeypatch) -> None:
    """A page that comes again is rejected."""
    client = store.StoreClient(('127.0.0.1', 9))
    page = b'{"items":[{"key":"k","value":"","offset":0}],"end":1,"more":true}'

    async def async_respond(*call) -> exchange.Response:
        await asyncio.sleep(0)
        return exchange.Response(status=200, head=b'', fields={}, body=page)

    monkeypatch.setattr(client, '_async_call', async_respond)
    with pytest.raises(exceptions.DecodeError):
        asyncio.run(asyncio.wait_for(client.async_newest('t'), 2.0))


# Guards against versions that are missed, since reads went on behind the end.
@pytest.mark.parametrize('start', [1, 9])
def test_page_beyond_the_end_is_rejected(start: int) -> None:
    """The newest records are read instead."""
    body = bytes(7) + b'\x01' + bytes(8) + b'\x00\x00\x00\x04\x01kvv'
    with pytest.raises(exceptions.LogRetentionError):
        store._parse_page(body, start)


# Guards against processes whose memory a response of the store exceeds.
def test_huge_response_is_not_held(monkeypatch) -> None:
    """Its connection is closed."""

    async def async_respond(*call) -> tuple[int, bytes]:
        return 200, bytes(store.MAX_HELD_BYTES + 1)

    async def async_main() -> None:
        server = platform_store.PlatformStore()
        monkeypatch.setattr(server, '_async_handle_call', async_respond)
        client = store.StoreClient(await server.async_start())
        with pytest.raises(exceptions.LogOutcomeUnknownError):
            await client.async_newest('t')
        server.stop()

    asyncio.run(async_main())


# Guards against reads that end with the first failure of their calls, though
# the store is about to respond to an earlier one.
def test_failed_call_does_not_end_a_read(monkeypatch) -> None:
    """The store is slow, and then refuses the repeated call."""

    async def async_main() -> None:
        server = platform_store.PlatformStore()
        handle = server._async_handle_call

        async def async_handle(*call) -> tuple[int, bytes]:
            if server.calls > 1:
                return 503, b''
            await asyncio.sleep(1.5 * store.CALL_TIMEOUT_S)
            return await handle(*call)

        monkeypatch.setattr(server, '_async_handle_call', async_handle)
        server.put('t', 'k', b'v')
        client = store.StoreClient(await server.async_start())
        page = await client.async_newest('t')
        assert page.records == [store.StoredRecord(key='k', value=b'v')]
        assert client.calls == 2
        server.stop()

    asyncio.run(async_main())


# Guards against appends that never succeed beside a slow store, so that a
# leave is never known as stored.
def test_append_outlasts_a_slow_store() -> None:
    """The response comes after the time for one call."""

    async def async_main() -> None:
        server = platform_store.PlatformStore()
        server.delay_s = 1.5 * store.CALL_TIMEOUT_S
        client = store.StoreClient(await server.async_start())
        record = store.StoredRecord(key='k', value=b'v')
        await client.async_append('t', record)
        assert client.calls == 2
        server.stop()

    asyncio.run(async_main())


# Guards against repeated appends that replace a newer record of their key.
def test_append_is_not_repeated_after_a_newer_one() -> None:
    """The response to the first append is late."""

    async def async_main() -> None:
        server = platform_store.PlatformStore()
        server.delay_s = 10.0
        client = store.StoreClient(await server.async_start())
        former = asyncio.create_task(
            client.async_append('t', store.StoredRecord(key='k', value=b'1'))
        )
        while not server.newest('t'):
            await asyncio.sleep(0.01)
        server.delay_s = 0.0
        newer = store.StoredRecord(key='k', value=b'2')
        await client.async_append('t', newer)
        with pytest.raises(exceptions.LogOutcomeUnknownError):
            await former
        assert server.newest('t') == {'k': b'2'}
        server.stop()

    asyncio.run(async_main())


# Guards against calls of the store that time out before a response that has
# arrived in time is read.
def test_response_that_arrives_in_a_hold_up_is_read(monkeypatch) -> None:
    """All timeouts are over when the event loop goes on."""
    monkeypatch.setattr(store, 'CALL_TIMEOUT_S', 0.1)

    def respond_once(
        server: socket.socket, loop: asyncio.AbstractEventLoop
    ) -> None:
        connection, _ = server.accept()
        with connection:
            connection.recv(4096)
            loop.call_soon_threadsafe(time.sleep, 0.5)
            time.sleep(0.1)
            connection.sendall(
                b'HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}'
            )
            connection.recv(4096)

    async def async_append(address) -> None:
        client = store.StoreClient(address)
        await client.async_append('t', store.StoredRecord(key='k', value=b'v'))

    with socket.create_server(('127.0.0.1', 0)) as server:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            thread = threading.Thread(
                target=respond_once, args=(server, runner.get_loop())
            )
            thread.start()
            runner.run(async_append(server.getsockname()))
        thread.join()


# Guards against records that are gone after the store came back from a copy,
# and against reads that go on at an offset that another record has now.
@pytest.mark.parametrize('kept_count', [0, 1, 3])
def test_writes_outlast_a_store_that_comes_back_from_a_copy(
    kept_count: int,
) -> None:
    """The copy holds the first records; a client writes the others again."""
    records = [
        store.StoredRecord(key=f'k{index}', value=b'v') for index in range(3)
    ]

    async def async_main() -> None:
        server = platform_store.PlatformStore()
        server.era = 4
        client = store.StoreClient(await server.async_start())
        for record in records:
            await client.async_append('t', record)
        page = await client.async_read(
            't', (await client.async_newest('t')).next_offset, 0.0
        )
        server._appended_at['t'][kept_count:] = [math.inf] * (3 - kept_count)
        server.rewind(0.0)
        server.put('t', 'other', b'w')
        with pytest.raises(exceptions.LogRetentionError):
            await client.async_read('t', page.next_offset, 0.0)
        for _ in range(200):
            if len(server.newest('t')) == 4:
                break
            await asyncio.sleep(0.05)
        assert sorted(server.newest('t')) == ['k0', 'k1', 'k2', 'other']
        newest = await client.async_newest('t')
        assert newest.next_offset > page.next_offset
        client.stop()
        server.stop()

    asyncio.run(async_main())
