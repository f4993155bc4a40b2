"""Tests of the outgoing connection to one other daemon."""

import asyncio
import socket
import time

from sassafraswood import clock
from sassafraswood.models import fleet
from sassafraswood.models import ids
from sassafraswood.protocol import frames
from sassafraswood.sidecar import peer_link
from sassafraswood.transport import json_log

MEMBER = fleet.Member(
    daemon_id=ids.DaemonId('d2'),
    address=('10.0.0.2', 7000),
    failure_domain=ids.FailureDomain('a'),
    service=ids.ServiceName('halls'),
)


class Case:
    """A link whose first packets are lost."""

    def __init__(self, tmp_path, monkeypatch) -> None:
        """Wire it up in the running loop."""
        self.tries: list[float] = []
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, 'create_connection', self._async_connect)
        self.log_file = open(tmp_path / 'log', 'wb')
        self.link = peer_link.PeerLink(
            MEMBER,
            clock=clock.SystemClock(),
            hello=lambda: frames.Hello(daemon_id='d1', started_at=1),
            log=json_log.JsonLog('d1', self.log_file.fileno()),
            on_message=lambda connection, message: None,
        )

    async def _async_connect(self, factory, host, port):
        self.tries.append(time.monotonic())
        await asyncio.sleep(60.0)

    async def async_tick(self, duration_s: float) -> None:
        """Let the link do what it does in some time."""
        until = time.monotonic() + duration_s
        while time.monotonic() < until:
            self.link.tick(clock.SystemClock().monotonic())
            await asyncio.sleep(0.01)


def test_lost_first_packet_is_not_waited_for(tmp_path, monkeypatch) -> None:
    """A VM that had no power yet takes the next try."""

    async def async_case() -> None:
        case = Case(tmp_path, monkeypatch)
        await case.async_tick(0.5)
        assert len(case.tries) >= 2
        case.link.close('test')

    asyncio.run(async_case())


def test_daemon_that_shows_itself_is_tried_at_once(
    tmp_path, monkeypatch
) -> None:
    """Whatever became of the try under way."""

    async def async_case() -> None:
        case = Case(tmp_path, monkeypatch)
        await case.async_tick(0.05)
        assert len(case.tries) == 1
        case.link.connect_soon()
        await case.async_tick(0.05)
        assert len(case.tries) == 2
        case.link.close('test')

    asyncio.run(async_case())


class FakeTransport:
    """A connection that was closed by the task that made it."""

    def get_extra_info(self, name):
        """Return a socket that takes options."""
        return socket.socket()

    def write(self, data) -> None:
        """Fail as on a closed connection."""
        raise RuntimeError('the handler is closed')


def test_connection_of_a_cancelled_try_is_not_used(
    tmp_path, monkeypatch
) -> None:
    """It is closed without a word to its protocol."""

    async def async_case() -> None:
        case = Case(tmp_path, monkeypatch)

        async def async_made(factory, host, port):
            case.tries.append(time.monotonic())
            protocol = factory()
            protocol.connection_made(FakeTransport())
            await asyncio.sleep(60.0)

        monkeypatch.setattr(
            asyncio.get_running_loop(), 'create_connection', async_made
        )
        await case.async_tick(0.05)
        case.link.connect_soon()
        await case.async_tick(0.05)
        assert not case.link.is_open
        assert len(case.tries) == 2
        case.link.close('test')

    asyncio.run(async_case())
