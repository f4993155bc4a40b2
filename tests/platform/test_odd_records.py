"""Tests of invalid records and reports from other writers.

They are ignored, and valid records remain in use.
"""

import asyncio
import json

import pytest

from sassafraswood import exceptions
from sassafraswood.platform import members
from sassafraswood.platform import reports
from sassafraswood.platform import rules
from sassafraswood.platform import settings
from sassafraswood.platform import upstream_records
from sassafraswood.platform import wire_json
from sassafraswood.protocol import frames
from tests.sidecar import test_whole_path

NESTING_DEPTH = 200_000
DEEP_LIST = b'[' * NESTING_DEPTH + b']' * NESTING_DEPTH
MEMBER = {
    'ip': '10.0.0.1',
    'port': 7000,
    'failure_domain': 'a',
    'service': 'ordering',
}
REPORT = {
    'service': 'ordering',
    'address': '10.0.0.1:8080',
    'slots': 20,
    'state': 'ready',
    'cold-left-s': 0,
    'sequence': 1,
    'born': 1,
}
END = {
    'record_id': 'a',
    'service': 'ordering',
    'ended_at': 1.0,
    'suspects': [['f', 0.1, 0.1, False]],
}
ODD_MEMBERS = [
    {'port': 70000},
    {'port': 0},
    {'port': -1},
    {'port': 10**30},
    {'ip': 'host.example'},
    {'ip': '10.0.0.1\0'},
    {'ip': ''},
]
ODD_REPORTS = [
    {'address': '10.0.0.1:70000'},
    {'address': '10.0.0.1:' + '9' * 5000},
    {'address': '10.0.0.1:\u0663'},
    {'slots': 0},
    {'slots': 10**30},
    {'sequence': 10**30},
    {'sequence': -1},
    {'born': 10**30},
    {'state': 'lost'},
]
ODD_ENDS = [
    {'ended_at': -1.0},
    {'suspects': [['f', -1e9, 1e9, False]]},
    {'suspects': [['f', 1e300, 1e300, False]]},
    {'suspects': [['f']]},
]


def merge(base: dict, changes: dict) -> bytes:
    """Return a record as JSON, with some fields replaced."""
    return json.dumps(base | changes).encode()


# Guards against daemons that crash on a deeply nested record: the decoder
# raises RecursionError, also for a field that the type does not define.
@pytest.mark.parametrize(
    'decode',
    [
        lambda value: members.decode('a', value),
        lambda value: reports.decode('i', value),
        reports.decode_leave,
        rules.decode,
        upstream_records.decode_leaves,
        upstream_records.decode_upstream,
        upstream_records.decode_crash,
    ],
)
@pytest.mark.parametrize(
    'value', [DEEP_LIST, b'{"x":%b}' % DEEP_LIST], ids=['value', 'field']
)
def test_deep_nesting_is_no_record(value, decode) -> None:
    """Deeply nested JSON raises DecodeError, also in an unknown field."""
    with pytest.raises(exceptions.DecodeError):
        decode(value)


# Guards against connection attempts to invalid addresses and ports.
@pytest.mark.parametrize('changes', ODD_MEMBERS)
def test_odd_member_is_rejected(changes) -> None:
    """A member record with an invalid address raises DecodeError."""
    members.decode('a', merge(MEMBER, {}))
    with pytest.raises(exceptions.DecodeError):
        members.decode('a', merge(MEMBER, changes))


# Guards against numbers that make later calculations or encoding fail.
@pytest.mark.parametrize('changes', ODD_REPORTS)
def test_odd_report_is_rejected(changes) -> None:
    """A report with an invalid number, address or state raises DecodeError."""
    reports.decode('i', merge(REPORT, {}))
    with pytest.raises(exceptions.DecodeError):
        reports.decode('i', merge(REPORT, changes))


@pytest.mark.parametrize('changes', ODD_ENDS)
def test_odd_end_is_rejected(changes) -> None:
    """A crash record with rates or times out of range raises DecodeError.

    They are multiplied with each other.
    """
    upstream_records.decode_crash(merge(END, {}))
    with pytest.raises(exceptions.DecodeError):
        upstream_records.decode_crash(merge(END, changes))


def test_odd_number_of_slots_is_rejected() -> None:
    """A record with more slots than any upstream has raises DecodeError."""
    with pytest.raises(exceptions.DecodeError):
        upstream_records.decode_upstream(
            merge(
                {'instance_id': 'i', 'born': 1},
                {'slots': wire_json.MAX_SLOTS + 1},
            )
        )


def test_address_is_an_ip_address_and_a_port() -> None:
    """Host names, missing parts and invalid ports are rejected."""
    assert settings.parse_address('10.0.0.1:80') == ('10.0.0.1', 80)
    for text in ('', ':80', 'a:80', '10.0.0.1:', '10.0.0.1:0', '10.0.0.1:+1'):
        assert settings.parse_address(text) is None


def test_deep_frame_is_no_message() -> None:
    """A deeply nested frame raises DecodeError instead of crashing."""
    payload = b'\x92\x08' + b'\x91' * NESTING_DEPTH + b'\xc0'
    with pytest.raises(exceptions.DecodeError):
        frames.FrameReader().feed(len(payload).to_bytes(4, 'big') + payload)


async def async_test_odd_records() -> None:
    """Write invalid records to the store while daemons read it."""
    async with test_whole_path.running() as fleet:
        for topic in ('keyed.members', 'keyed.upstreams'):
            fleet.store.put(topic, 'odd-deep', b'{"x":%b}' % DEEP_LIST)
            fleet.store.put(topic, 'odd/ended/1', DEEP_LIST)
            for index, changes in enumerate(ODD_MEMBERS):
                fleet.store.put(topic, f'odd-{index}', merge(MEMBER, changes))
        port = fleet.daemons['billing'].settings.report_address[1]
        status = await async_post_report(port, b'{"x":%b}' % DEEP_LIST)
        assert status == 400
        await fleet.async_restart('status')
        await fleet.async_wait('status', 'billing')
        # The daemons still apply new member records and rules.
        fleet.store.put(
            'keyed.members', 'late', merge(MEMBER, {'ip': '127.0.0.1'})
        )
        rules = test_whole_path.RULES | {'version': 'r5', 'routes': {}}
        fleet.publish(rules)
        await asyncio.sleep(1.5)
        for service in fleet.daemons:
            assert (
                await fleet.async_request(service, '/status/1')
            ).status == 404
            assert not fleet.tasks[service].done()


async def async_post_report(port: int, body: bytes) -> int:
    """Send a report; return the status of the response."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(
        b'POST /rpc?call=instances.heartbeat&of=i-billing HTTP/1.1\r\n'
        b'Host: x\r\nContent-Length: %d\r\n\r\n' % len(body) + body
    )
    line = await reader.readline()
    writer.close()
    return int(line.split()[1])


# Guards against daemons that crash, or stop reading the store, at an invalid
# record.
def test_daemons_follow_the_store_past_odd_records() -> None:
    """Daemons serve, restart and apply the records that follow."""
    asyncio.run(async_test_odd_records())
