"""Tests of odd frames that a peer sends to a daemon."""

import asyncio
import math
import random

import msgspec
import pytest

from sassafraswood.protocol import frames

from tests.sidecar import test_whole_path

NAN = math.nan
INFINITY = math.inf
HEAD = b'POST /status/1 HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: a1\r\n'
RUN = frames.Run(
    call_id=1,
    service='status',
    head=HEAD,
    body=b'hello',
    attempt_id=b'a1',
    time_left_s=2.0,
    target_s=1.0,
    urgency=0.5,
    workspace='blue',
    route='status',
    is_idempotent=True,
    is_inner=False,
)
PONG = frames.Pong(
    sequence=1,
    rules_version=1,
    rules_age_s=0.1,
    members_end_offset=1,
    members_age_s=0.1,
    is_serving=True,
    load=0.5,
)
# One message of each type. An announced end of the member records is believed,
# so their document is left out.
MESSAGES = [
    RUN,
    PONG,
    frames.Hello(daemon_id='odd', started_at=1),
    frames.Answer(
        call_id=1, status=200, head=b'', body=b'', load=0.1, deep_load=0.1
    ),
    frames.Refused(call_id=1, reason='overloaded', is_local=True, load=0.1),
    frames.CallFailed(call_id=1, reason='x', load=0.1),
    frames.Cancel(call_id=1),
    frames.Ping(sequence=1),
    frames.FetchRules(),
    frames.RulesDocument(version=99, document=b'x'),
    frames.FetchMemberRecords(start=0),
    frames.BorrowTokens(workspace='blue', tokens=1.0),
    frames.LendTokens(workspace='blue', tokens=1.0),
    frames.Status(is_serving=True, load=0.1),
    frames.CrashReport(
        record_id='odd/1',
        service='status',
        age_s=1.0,
        suspects=[('f', 1.0, 1.0, False)],
    ),
    frames.CrashConfirmation(record_id='odd/1'),
    frames.Verdicts(rows=[('f', 1, 1.0)], wants_reply=True),
]
ODD_VALUES = [
    *(NAN, INFINITY, -INFINITY, 1e300, -1e300, -1.0, 0, -1, 2**63),
    *(None, True, '', 'x' * 3000, b'\xff\x00\r\n', [], [[]], {}, {'a': 1}),
]


def elements(message: frames.AnyFrame) -> list:
    """Return the elements of an encoded message, the tag first."""
    return msgspec.msgpack.decode(frames.encode(message)[4:])


def pack(parts: object) -> bytes:
    """Return a frame with any content."""
    payload = msgspec.msgpack.encode(parts)
    return len(payload).to_bytes(4, 'big') + payload


class Peer:
    """Speaks to the peer port of a daemon."""

    def __init__(self, reader, writer) -> None:
        """Start with the streams of an open connection."""
        self._reader, self._writer = reader, writer
        self._frames = frames.FrameReader()
        self._call_id = 1000

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self._writer.write(data)

    async def async_reply(self, call_id: int) -> frames.AnyFrame:
        """Return the reply to a call."""
        async with asyncio.timeout(2.0):
            while data := await self._reader.read(1 << 20):
                for message in self._frames.feed(data):
                    if getattr(message, 'call_id', None) == call_id:
                        return message
        raise AssertionError(f'connection closed without reply to {call_id}')

    async def async_run(self) -> None:
        """Run a call and check its answer."""
        self._call_id += 1
        message = msgspec.structs.replace(RUN, call_id=self._call_id)
        self.send(frames.encode(message))
        reply = await self.async_reply(self._call_id)
        assert isinstance(reply, frames.Answer), reply

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def async_connect(fleet: test_whole_path.Fleet) -> Peer:
    """Return a connection that has named itself."""
    host, port = fleet.daemons['status'].settings.peer_address
    peer = Peer(*await asyncio.open_connection(host, port))
    peer.send(frames.encode(frames.Hello(daemon_id='odd', started_at=1)))
    return peer


def run_with_peer(async_test) -> None:
    """Run a test with a fleet and a connection to a daemon of it."""

    async def async_run() -> None:
        async with test_whole_path.running() as fleet:
            peer = await async_connect(fleet)
            await async_test(fleet, peer)
            await peer.async_run()
            peer.close()
            for service in fleet.daemons:
                for path in ('/status/1', '/pay/1'):
                    response = await fleet.async_request(service, path)
                    assert response.status == 200

    asyncio.run(async_run())


# Guards against an odd message that ends the connection, and so fails all
# calls on it, or that leaves its own call without an answer.
@pytest.mark.parametrize(
    ('index', 'value'),
    [(6, NAN), (6, INFINITY), (6, 1e300), (7, NAN), (8, 'x'), (3, 5)],
)
def test_odd_run_is_refused_and_other_calls_go_on(index, value) -> None:
    """Its call is refused as not run."""

    async def async_test(fleet, peer) -> None:
        parts = elements(RUN)
        parts[index] = value
        peer.send(pack(parts))
        assert isinstance(await peer.async_reply(1), frames.Refused)

    run_with_peer(async_test)


def test_odd_messages_leave_other_calls_alone() -> None:
    """Guards against messages that later fail calls, or the connection."""

    async def async_test(fleet, peer) -> None:
        source = random.Random(1)
        for _ in range(400):
            parts = elements(source.choice(MESSAGES))
            for _ in range(source.randint(1, 2)):
                if len(parts) > 1:
                    index = source.randrange(1, len(parts))
                    parts[index] = source.choice(ODD_VALUES)
            if source.random() < 0.1:
                parts = parts[: source.randrange(len(parts))]
            peer.send(pack(parts))
        for odd in (b'', b'\xc1', b'\x91' * 5000, b'\x92\x7f\x00'):
            peer.send(len(odd).to_bytes(4, 'big') + odd)
        await asyncio.sleep(0.3)

    run_with_peer(async_test)


def test_message_sent_twice_runs_once() -> None:
    """Guards against two runs of a call whose message arrives again."""

    async def async_test(fleet, peer) -> None:
        fleet.upstreams['status'].delay_s = 0.2
        fleet.upstreams['status'].seen.clear()
        peer.send(2 * frames.encode(RUN))
        assert isinstance(await peer.async_reply(1), frames.Answer)
        assert len(fleet.upstreams['status'].seen) == 1

    run_with_peer(async_test)


# Guards against a call that runs and is called "not run", since a further
# message with its id is refused.
@pytest.mark.parametrize('is_valid', [True, False])
def test_further_message_of_a_running_call_is_not_refused(is_valid) -> None:
    """Neither one that finds no memory nor one that cannot be decoded."""

    async def async_test(fleet, peer) -> None:
        fleet.upstreams['status'].delay_s = 0.3
        fleet.upstreams['status'].seen.clear()
        peer.send(frames.encode(RUN))
        await asyncio.sleep(0.1)
        peers = fleet.daemons['status']._peers
        limit, peers.max_unsent_bytes = peers.max_unsent_bytes, -1
        parts = elements(RUN)
        if not is_valid:
            parts[6] = NAN
        peer.send(pack(parts))
        reply = await peer.async_reply(RUN.call_id)
        peers.max_unsent_bytes = limit
        assert isinstance(reply, frames.Answer)
        assert len(fleet.upstreams['status'].seen) == 1

    run_with_peer(async_test)
